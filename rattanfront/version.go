package rattanfront

import (
	"context"
	"net/http"
	"strings"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
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

// resolveConflict waits for the home's desired state if that is newer. Otherwise the
// home has waited for the one of this instance.
func (s *submission) resolveConflict(ctx context.Context, request *rattanhome.Request, claim rattanzone.Claim, conflict *rattanhome.VersionConflict) {
	homeNewer := conflict.Version > request.Version
	s.mayHaveStarted = s.mayHaveStarted || conflict.MayHaveStarted
	if conflict.NeverAccepted {
		s.submissions.settleAll()
	}
	if !homeNewer {
		s.wait(ctx, nil)
		return
	}
	states := s.handler.config.DesiredState
	states.Announce(rattanwork.Member{Name: claim.Name, Address: claim.Address}, conflict.Version, s.handler.config.Clock())
	ctx, cancel := context.WithTimeout(ctx, rattanhome.VersionWait)
	defer cancel()
	states.Await(ctx, conflict.Version)
}
