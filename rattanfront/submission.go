package rattanfront

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// resubmitDelay is the delay before a job is submitted again after a home
	// did not answer.
	resubmitDelay = 40 * time.Millisecond
	// homeWaitLimit is how long a job that no home has received yet waits for a
	// home.
	homeWaitLimit = 400 * time.Millisecond
	// remoteHomeTimeout is how long failed calls to the home of another zone are
	// repeated before the submission ends.
	remoteHomeTimeout = 2 * time.Second
)

// submission is one job of a caller of this instance.
type submission struct {
	handler *Handler
	// state is the desired state by which the request was last matched to a route.
	state      *rattanwork.DesiredState
	route      *rattanwork.Route
	host       string
	path       string
	header     http.Header
	id         string
	job        *rattanwork.Job
	receivedAt time.Time

	// objective is when the job should be complete. After lateUntil an answer
	// has lost all its value. At deadline the caller stops waiting.
	objective time.Time
	lateUntil time.Time
	deadline  time.Time
	// submissions contains the submissions to homes, conflicts counts those that were
	// not accepted because of their version.
	submissions submissionHistory
	conflicts   int
	// sequence is the number of the last submission to a home.
	sequence int64
	// home is the name of the instance that the job was last submitted to, homeToken
	// the fencing token of that home.
	home      string
	homeToken int64
	// zone is the zone that the job is submitted to. redirected is set once the
	// job was redirected because this instance's zone had no capacity for it.
	zone       string
	redirected bool
	// tried contains the zones that have redirected or refused the job, or were out of
	// reach; lastRefusal is the answer for the last one.
	tried       []string
	lastRefusal response
	// earlierZone is the zone that redirected the job although an earlier submission to
	// it was unsettled, "" if there is none.
	earlierZone string
	// mayHaveStarted is set if a home has told that the job may have started through
	// another submission.
	mayHaveStarted bool
	// unreachableSince is when the first of the latest calls to the home of
	// another zone failed, zero unless the last one did.
	unreachableSince time.Time
}

// response is the answer to a submission. A status of 0 means that the caller
// has left.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
	reason     string
}

func (r response) write(w http.ResponseWriter, s *submission) {
	s.recordAnswer(r.status, r.reason)
	switch {
	case r.status == 0:
		// The caller has left.
	case r.retryAfter > 0:
		refuse(w, r.status, r.retryAfter, r.reason)
	default:
		respond(w, r.status, r.body)
	}
}

func (s *submission) recordAnswer(status int, reason string) {
	s.handler.config.Journal.Answered(AnswerRecord{
		JobID:       s.id,
		Route:       s.route.Name,
		Status:      status,
		Reason:      reason,
		Home:        s.home,
		Zone:        s.zone,
		HomeToken:   s.homeToken,
		Submissions: s.submissions.total,
		Conflicts:   s.conflicts,
		Unsettled:   s.submissions.unsettledCount(),
		Elapsed:     s.handler.config.Clock().Sub(s.receivedAt),
		Version:     s.state.Version,
	})
}

// setDeadlines derives the deadlines of a job from its route and from the time
// that its caller waits. The time that the caller states takes precedence over
// the timeout of the route, because the objectives of long jobs exceed that
// timeout.
func (s *submission) setDeadlines() {
	objective := s.route.Objective(s.job.CriticalPath())
	callerTimeout := s.route.Timeout
	if timeout, ok := platform.CallerTimeout(s.header); ok {
		callerTimeout = timeout
	}
	s.objective = s.receivedAt.Add(objective)
	s.lateUntil = s.receivedAt.Add(rattanwork.LateFactor * objective)
	s.deadline = s.receivedAt.Add(callerTimeout)
}

// run submits the job to the home of the zone until a home returns its outcome.
func (s *submission) run(ctx context.Context) response {
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, errDeadline)
	defer cancel()
	s.zone = s.handler.config.Self.Zone
	resp, ended := s.submitUntilEnd(ctx)
	if !ended {
		s.withdrawUnsettled()
	}
	return resp
}

// withdrawUnsettled withdraws the submissions that a home may have accepted.
func (s *submission) withdrawUnsettled() {
	if s.submissions.unsettledCount() == 0 {
		return
	}
	cancellation := rattanhome.Cancellation{JobID: s.id, Submitter: s.handler.config.Self.Name, Sequence: s.sequence}
	go s.handler.withdraw(s.zone, cancellation)
	if s.earlierZone != "" && s.earlierZone != s.zone {
		go s.handler.withdraw(s.earlierZone, cancellation)
	}
}

// submitUntilEnd submits the job to the home of the zone until a home reports
// that it has ended, or until there is no point in waiting. The second result
// reports whether the job has ended.
func (s *submission) submitUntilEnd(ctx context.Context) (resp response, ended bool) {
	for {
		if callerLeft(ctx) {
			return response{reason: "caller left"}, false
		}
		if resp, ok := s.updateRoute(); !ok {
			return resp, false
		}
		claim, ok, homeChanged := s.handler.config.Homes.Home(s.zone)
		if !ok {
			if !s.maybeStarted() && s.handler.config.Clock().Sub(s.receivedAt) > homeWaitLimit {
				if s.redirected {
					s.tryNextZone(outOfReachResponse())
					continue
				}
				return response{status: http.StatusServiceUnavailable, retryAfter: unavailableRetryAfter, reason: "zone has no home"}, false
			}
			s.wait(ctx, homeChanged)
		} else if resp, ended := s.attempt(ctx, claim, homeChanged); ended {
			return resp, true
		}
		if ctx.Err() != nil {
			return s.interruptedResponse(ctx), false
		}
		if s.redirected && s.outOfReach(s.handler.config.Clock()) {
			return notCompleteResponse("other zone out of reach"), false
		}
	}
}

// attempt submits the job to one home. The second result reports whether the
// job has ended there; otherwise it must be submitted again.
func (s *submission) attempt(ctx context.Context, claim rattanzone.Claim, homeChanged <-chan struct{}) (response, bool) {
	request := s.request(claim)
	s.home, s.homeToken = claim.Name, claim.FencingToken
	if s.redirected {
		defer s.handler.config.Homes.KeepAlive(claim.Address)()
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A home that is suspected or has been replaced may never answer, so a
	// change of the home cancels the call.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-homeChanged:
			cancel()
		case <-stop:
		}
	}()
	reply, err := s.handler.submitToHome(callCtx, claim, request)
	s.recordReach(err, s.handler.config.Clock())
	if notAccepted(reply, err) {
		s.submissions.settleLast()
	}
	s.mayHaveStarted = s.mayHaveStarted || reply.Result.MayHaveStarted
	if reply.Conflict != nil {
		s.conflicts++
		s.resolveConflict(ctx, request, claim, reply.Conflict)
		return response{}, false
	}
	if ctx.Err() != nil {
		return response{}, false
	}
	if reply.Result.Outcome == rattanscheduler.Redirected {
		if s.redirected {
			// Each of two zones may take the job for started in the other one.
			s.wait(ctx, nil)
		}
		return s.follow(reply.Result)
	}
	if reply.CancelledByCaller {
		return cancelledResponse(), true
	}
	if err != nil && s.redirected && !s.maybeStarted() {
		s.tryNextZone(outOfReachResponse())
		return response{}, false
	}
	// A home cancels the jobs of an instance that it considers dead, but the
	// caller of this instance is still waiting.
	if err != nil || reply.NotHome || reply.Result.Outcome == rattanscheduler.Cancelled {
		s.wait(ctx, nil)
		return response{}, false
	}
	if reply.Result.Outcome == rattanscheduler.Refused && s.maybeStarted() {
		// The home cannot answer for other submissions, which may arrive late.
		s.withdrawUnsettled()
		return notCompleteResponse(reply.Result.Reason), true
	}
	if reply.Result.Outcome == rattanscheduler.Refused && s.redirected {
		s.tryNextZone(outcomeResponse(reply.Result))
		return response{}, false
	}
	return outcomeResponse(reply.Result), true
}

// follow goes on in the zone to which a job was redirected, or returns the last refusal
// if the home of this zone names a zone that has refused the job already: one of the former
// version does not know which zones have. A zone that sends a job back has not refused it.
func (s *submission) follow(result rattanscheduler.JobResult) (response, bool) {
	if !s.redirected && !s.maybeStarted() && slices.Contains(s.tried, result.Zone) {
		return s.lastRefusal, true
	}
	if s.submissions.unsettledCount() > 0 {
		s.earlierZone = s.zone
	}
	s.addTried(s.zone)
	s.zone = result.Zone
	s.redirected = true
	return response{}, false
}

// tryNextZone goes back to this instance's zone after another zone has refused the job or
// was out of reach. The home of this zone knows where the job was redirected. It starts the
// job, redirects it to a zone that was not tried, or refuses it.
func (s *submission) tryNextZone(refusal response) {
	s.lastRefusal = refusal
	s.addTried(s.zone)
	s.zone = s.handler.config.Self.Zone
	s.redirected = false
	s.unreachableSince = time.Time{}
}

// outOfReachResponse returns the response for a job that another zone certainly has not
// got.
func outOfReachResponse() response {
	return response{status: http.StatusServiceUnavailable, retryAfter: unavailableRetryAfter, reason: "other zone out of reach"}
}

// addTried records that a zone has redirected or refused the job.
func (s *submission) addTried(zone string) {
	if !slices.Contains(s.tried, zone) {
		s.tried = append(s.tried, zone)
	}
}

// notAccepted reports whether the answer to a submission proves that it has started
// no task and will not start any.
func notAccepted(reply rattanhome.Reply, err error) bool {
	if err != nil {
		return errors.Is(err, rattanpeer.ErrRefused) || errors.Is(err, rattanpeer.ErrUnreachable)
	}
	outcome := reply.Result.Outcome
	return reply.Conflict != nil || reply.NotAccepted || outcome == rattanscheduler.Refused || outcome == rattanscheduler.Redirected
}

// recordReach records the result of a call to a home.
func (s *submission) recordReach(err error, now time.Time) {
	switch {
	case err == nil:
		s.unreachableSince = time.Time{}
	case s.unreachableSince.IsZero():
		s.unreachableSince = now
	}
}

// outOfReach reports whether calls to the home have failed for too long.
func (s *submission) outOfReach(now time.Time) bool {
	return !s.unreachableSince.IsZero() && now.Sub(s.unreachableSince) > remoteHomeTimeout
}

// request records a submission to the home that holds the claim, and returns the
// request.
func (s *submission) request(claim rattanzone.Claim) *rattanhome.Request {
	now := s.handler.config.Clock()
	resumed := s.maybeStarted()
	s.sequence = s.handler.submissions.Add(1)
	s.submissions.begin(claim.FencingToken, s.sequence)
	otherHomes := s.submissions.otherHomes(claim.FencingToken)
	var firstUnsettled, homeToken int64
	if otherHomes == 0 {
		firstUnsettled, homeToken = s.submissions.first, claim.FencingToken
	}
	request := s.jobRequest(now)
	request.Submitter = s.handler.config.Self.Name
	request.Incarnation = s.handler.config.Self.Incarnation
	request.Sequence = s.sequence
	request.FirstUnsettled = firstUnsettled
	request.HomeToken = homeToken
	request.Uptime = s.handler.uptime(now)
	request.Resumed = resumed
	request.EarlierHomes = otherHomes
	request.Redirectable = !resumed && !s.redirected
	request.Redirected = s.redirected
	request.Tried = s.tried
	return request
}

// jobRequest returns a request with what the job and its route state.
func (s *submission) jobRequest(now time.Time) *rattanhome.Request {
	return &rattanhome.Request{
		Version:     s.state.Version,
		Job:         s.job,
		Service:     s.route.Service,
		Priority:    s.route.Priority,
		MaxAttempts: s.route.MaxAttempts,
		Objective:   s.objective.Sub(now),
		LateUntil:   s.lateUntil.Sub(now),
		SlackFactor: s.route.SlackFactor,
		Deadline:    s.deadline.Sub(now),
	}
}

// wait returns after resubmitDelay, or earlier if the home changes or ctx ends.
func (s *submission) wait(ctx context.Context, homeChanged <-chan struct{}) {
	timer := time.NewTimer(resubmitDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-homeChanged:
	case <-timer.C:
	}
}

// interruptedResponse returns the response for a job whose deadline has passed,
// that was cancelled, or whose caller has left.
func (s *submission) interruptedResponse(ctx context.Context) response {
	cause := context.Cause(ctx)
	switch {
	case (errors.Is(cause, errDeadline) || errors.Is(cause, errStopping)) && !s.maybeStarted():
		return response{status: http.StatusServiceUnavailable, retryAfter: unavailableRetryAfter, reason: "zone has no home"}
	case errors.Is(cause, errStopping):
		return response{status: http.StatusGatewayTimeout, body: platform.ErrorBody("instance stops"), reason: "instance stops"}
	case errors.Is(cause, errDeadline):
		return notCompleteResponse("deadline exceeded")
	case errors.Is(cause, errCancelled):
		return cancelledResponse()
	default:
		return response{reason: "caller left"}
	}
}

// outcomeResponse converts the outcome of a job into a response.
func outcomeResponse(result rattanscheduler.JobResult) response {
	switch result.Outcome {
	case rattanscheduler.Succeeded:
		return response{status: http.StatusOK, body: platform.BodySucceeded, reason: result.Reason}
	case rattanscheduler.Failed:
		return response{status: http.StatusOK, body: platform.BodyFailed, reason: result.Reason}
	case rattanscheduler.Refused:
		return response{status: http.StatusServiceUnavailable, retryAfter: max(result.RetryAfter, time.Second), reason: result.Reason}
	default:
		return notCompleteResponse(result.Reason)
	}
}

// notCompleteResponse returns the response for a job that may have started and has no
// result.
func notCompleteResponse(reason string) response {
	return response{status: http.StatusGatewayTimeout, body: platform.ErrorBody("not complete in time"), reason: reason}
}
