package rattanfront

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
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
		h.answerTooLarge(w, s)
	case errors.Is(err, rattanlimit.ErrNoRoom) || errors.Is(err, rattanlimit.ErrSlow):
		h.refuseUnread(w, s.id, err.Error())
	case err != nil:
		s.recordAnswer(0, "body not received")
	}
	return body, held, err == nil
}

// answerTooLarge answers a request whose body is too large. A job that is known under the
// same ID is not reported as rejected.
func (h *Handler) answerTooLarge(w http.ResponseWriter, s *submission) {
	status := http.StatusRequestEntityTooLarge
	if h.presence(s.id) == rattanhome.JobPresent {
		status = http.StatusGatewayTimeout
	}
	s.recordAnswer(status, "body too large")
	respond(w, status, platform.ErrorBody("body too large"))
}
