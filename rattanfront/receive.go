package rattanfront

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanlimit"
)

// defaultMaxBody limits the size of a body while the desired state sets no limit.
const defaultMaxBody = 256 << 10

// receive reads the body of a request, which counts as held until it is released. It
// answers and reports false if that is not possible.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request, s *submission) ([]byte, rattanlimit.Held, bool) {
	limit := s.state.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, held, err := h.config.Bodies.Receive(w, r, limit)
	switch {
	case errors.Is(err, rattanlimit.ErrTooLarge):
		s.recordAnswer(http.StatusRequestEntityTooLarge, "body too large")
		respond(w, http.StatusRequestEntityTooLarge, platform.ErrorBody("body too large"))
	case errors.Is(err, rattanlimit.ErrNoRoom) || errors.Is(err, rattanlimit.ErrSlow):
		h.refuseWithoutRoom(w, s.id, err)
	case err != nil:
		s.recordAnswer(0, "body not received")
	}
	return body, held, err == nil
}

// refuseWithoutRoom refuses a job whose request is not held any longer. It is not
// recorded like other answers, because a flood of such requests must not fill the log;
// the bodies count it. A job that runs for another request of its caller is not
// refused.
func (h *Handler) refuseWithoutRoom(w http.ResponseWriter, id string, err error) {
	h.mutex.Lock()
	_, pending := h.pending[id]
	h.mutex.Unlock()
	if pending {
		respond(w, http.StatusGatewayTimeout, platform.ErrorBody(err.Error()))
		return
	}
	refuse(w, http.StatusServiceUnavailable, unavailableRetryAfter, err.Error())
}
