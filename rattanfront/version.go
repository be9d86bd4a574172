package rattanfront

import (
	"context"
	"net/http"
	"strings"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// updateRoute matches the request again if a newer desired state is in force. It
// returns false and the response if the job cannot be submitted by it. A job that
// may have started goes on by its route even if that was removed.
func (s *submission) updateRoute() (response, bool) {
	state := s.handler.config.DesiredState.State()
	if state.Version <= s.state.Version {
		return response{}, true
	}
	route, ok := state.Match(s.host, s.path)
	ok = ok && strings.TrimPrefix(s.path, route.Prefix) == s.id
	if !ok && !s.maybeStarted() {
		return response{status: http.StatusNotFound, body: platform.ErrorBody(noSuchQueue), reason: noSuchQueue}, false
	}
	s.state = state
	if !ok {
		return response{}, true
	}
	s.route = route
	s.setDeadlines()
	if resp, refused := routeRefusal(route); refused && !s.maybeStarted() {
		return resp, false
	}
	return response{}, true
}

// maybeStarted reports whether a task of the job may have started.
func (s *submission) maybeStarted() bool {
	return s.submissions.unsettledCount() > 0 || s.mayHaveStarted
}

// noSuchQueue is the message for a request that matches no route.
const noSuchQueue = "no such queue"

// routeRefusal returns the refusal of all jobs of a route that is not served.
func routeRefusal(route *rattanwork.Route) (response, bool) {
	if !route.NeedsAdvice {
		return response{}, false
	}
	return response{status: http.StatusServiceUnavailable, retryAfter: unsupportedRetryAfter, reason: "queues with advice are not served"}, true
}

// resolveConflict takes over the home's desired state if that is newer, and lets
// the next submission carry the own one otherwise.
func (s *submission) resolveConflict(ctx context.Context, request *rattanhome.Request, conflict *rattanhome.VersionConflict) {
	homeNewer := conflict.Version > request.Version
	s.mayHaveStarted = s.mayHaveStarted || conflict.MayHaveStarted
	if conflict.NeverAccepted {
		s.submissions.settleAll()
	}
	s.encloseDocument = !homeNewer
	if homeNewer {
		// The watcher records an invalid document; an older one changes nothing.
		_ = s.handler.config.DesiredState.Accept(conflict.Document, s.home)
		if s.handler.config.DesiredState.State().Version > request.Version {
			return
		}
	} else if len(request.Document) == 0 {
		return
	}
	// The instances do not agree on whether a document is valid.
	s.wait(ctx, nil)
}
