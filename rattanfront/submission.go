package rattanfront

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// presentPause is the pause before a job is presented again to a home that
	// did not answer.
	presentPause = 40 * time.Millisecond
	// homelessLimit is how long a job that no home has seen waits for one.
	homelessLimit = 400 * time.Millisecond
	// remoteLimit is how long the home of another zone may be out of reach
	// before its job is given up.
	remoteLimit = 2 * time.Second
)

// submission is one job of a caller of this instance.
type submission struct {
	front   *Front
	state   *rattanwork.DesiredState
	route   *rattanwork.Route
	id      string
	job     *rattanwork.Job
	arrived time.Time

	objective time.Time
	lateUntil time.Time
	deadline  time.Time
	// presented counts the homes that may know of the job.
	presented int
	home      string
	// zone is where the job is presented, redirected says that its own zone had
	// no room for it.
	zone       string
	redirected bool
	// reached is when a home of the zone last answered or was first asked.
	reached time.Time
}

// verdict is how a submission is answered.
type verdict struct {
	status     int
	body       []byte
	retryAfter time.Duration
	reason     string
}

func (v verdict) write(w http.ResponseWriter, s *submission) {
	s.journal(v.status, v.reason)
	switch {
	case v.status == 0:
		// The caller has left.
	case v.retryAfter > 0:
		refuse(w, v.status, v.retryAfter, v.reason)
	default:
		respond(w, v.status, v.body)
	}
}

func (s *submission) journal(status int, reason string) {
	s.front.config.Journal.Answered(Answer{
		JobID:     s.id,
		Route:     s.route.Name,
		Status:    status,
		Reason:    reason,
		Home:      s.home,
		Zone:      s.zone,
		Presented: s.presented,
		Elapsed:   s.front.config.Clock().Sub(s.arrived),
		Version:   s.state.Version,
	})
}

// setTimes derives the times of a job from its route and from how long its
// caller waits, which goes before the timeout of the route: long jobs have
// objectives beyond it.
func (s *submission) setTimes(header http.Header) {
	objective := s.route.Latency + time.Duration(s.route.SlackFactor*float64(s.job.CriticalPath()))
	patience := s.route.Timeout
	if timeout, ok := platform.CallerTimeout(header); ok {
		patience = timeout
	}
	s.objective = s.arrived.Add(objective)
	s.lateUntil = s.arrived.Add(rattanwork.LateFactor * objective)
	s.deadline = s.arrived.Add(patience)
}

// run presents the job to the home of the zone until one tells its outcome.
func (s *submission) run(ctx context.Context) verdict {
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, errDeadline)
	defer cancel()
	s.zone = s.front.config.Self.Zone
	for {
		claim, ok, changed := s.front.config.Homes.Home(s.zone)
		if !ok {
			if s.presented == 0 && s.front.config.Clock().Sub(s.arrived) > homelessLimit {
				return verdict{status: http.StatusServiceUnavailable, retryAfter: homeRetry, reason: "zone has no home"}
			}
			s.wait(ctx, changed)
		} else if v, final := s.attempt(ctx, claim, changed); final {
			return v
		}
		if ctx.Err() != nil {
			return s.interrupted(ctx)
		}
	}
}

// attempt presents the job to one home.
func (s *submission) attempt(ctx context.Context, claim rattanzone.Claim, changed <-chan struct{}) (verdict, bool) {
	request := s.request()
	s.presented++
	s.home = claim.Name
	if s.redirected {
		defer s.front.config.Homes.Contact(claim.Address)()
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A home that was given up may never answer.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	reply, err := s.front.present(callCtx, claim, request)
	if ctx.Err() != nil {
		go s.front.withdraw(claim, s.job.ID)
		return s.interrupted(ctx), true
	}
	if reply.Result.Outcome == rattanscheduler.Redirected {
		s.zone = reply.Result.Zone
		s.redirected = true
		s.presented = 0
		s.reached = s.front.config.Clock()
		return verdict{}, false
	}
	if s.redirected && err != nil && s.front.config.Clock().Sub(s.reached) > remoteLimit {
		return verdict{status: http.StatusGatewayTimeout, body: platform.ErrorBody("not complete in time"), reason: "other zone out of reach"}, true
	}
	// A home cancels jobs of an instance that it takes for dead; the caller of
	// this one still waits.
	if err != nil || reply.NotHome || reply.Result.Outcome == rattanscheduler.Cancelled {
		s.wait(ctx, nil)
		return verdict{}, false
	}
	return ended(reply.Result), true
}

func (s *submission) request() *rattanhome.Request {
	now := s.front.config.Clock()
	return &rattanhome.Request{
		Submitter:    s.front.config.Self.Name,
		Incarnation:  s.front.config.Self.Incarnation,
		Job:          s.job,
		Service:      s.route.Service,
		Priority:     s.route.Priority,
		MaxAttempts:  s.route.MaxAttempts,
		Objective:    s.objective.Sub(now),
		LateUntil:    s.lateUntil.Sub(now),
		SlackFactor:  s.route.SlackFactor,
		Deadline:     s.deadline.Sub(now),
		Resumed:      s.presented > 0,
		Redirectable: s.presented == 0 && !s.redirected,
	}
}

func (s *submission) wait(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(presentPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// interrupted is the answer when the time is over or the caller has left.
func (s *submission) interrupted(ctx context.Context) verdict {
	cause := context.Cause(ctx)
	switch {
	case (errors.Is(cause, errDeadline) || errors.Is(cause, errStopping)) && s.presented == 0:
		return verdict{status: http.StatusServiceUnavailable, retryAfter: homeRetry, reason: "zone has no home"}
	case errors.Is(cause, errStopping):
		return verdict{status: http.StatusGatewayTimeout, body: platform.ErrorBody("instance stops"), reason: "instance stops"}
	case errors.Is(cause, errDeadline):
		return verdict{status: http.StatusGatewayTimeout, body: platform.ErrorBody("not complete in time"), reason: "deadline exceeded"}
	case errors.Is(cause, errCancelled):
		return verdict{status: http.StatusGatewayTimeout, body: platform.ErrorBody("cancelled"), reason: "cancelled"}
	default:
		return verdict{reason: "caller left"}
	}
}

// ended translates the outcome of a job.
func ended(end rattanscheduler.JobResult) verdict {
	switch end.Outcome {
	case rattanscheduler.Succeeded:
		return verdict{status: http.StatusOK, body: platform.BodySucceeded, reason: end.Reason}
	case rattanscheduler.Failed:
		return verdict{status: http.StatusOK, body: platform.BodyFailed, reason: end.Reason}
	case rattanscheduler.Refused:
		return verdict{status: http.StatusServiceUnavailable, retryAfter: max(end.RetryAfter, time.Second), reason: end.Reason}
	default:
		return verdict{status: http.StatusGatewayTimeout, body: platform.ErrorBody("not complete in time"), reason: end.Reason}
	}
}
