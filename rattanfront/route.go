package rattanfront

import (
	"net/http"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// stateWaitLimit is how long a request without a route waits for the desired
	// state to be compared after a pause, stateWaitInterval the time between two
	// looks at it.
	stateWaitLimit    = 500 * time.Millisecond
	stateWaitInterval = 5 * time.Millisecond
)

// matchCurrent matches a request that has no route to the desired state that is in
// force. After a pause, a change may still wait to be read.
func (h *Handler) matchCurrent(r *http.Request, receivedAt time.Time) (state *rattanwork.DesiredState, route *rattanwork.Route, ok bool) {
	ticker := time.NewTicker(stateWaitInterval)
	defer ticker.Stop()
	for now := receivedAt; ; now = h.config.Clock() {
		final := h.config.DesiredState.Current(now) || now.Sub(receivedAt) >= stateWaitLimit
		state = h.config.DesiredState.State()
		if route, ok = state.Match(hostName(r.Host), r.URL.Path); ok || final {
			return state, route, ok
		}
		select {
		case <-r.Context().Done():
			return state, nil, false
		case <-ticker.C:
		}
	}
}
