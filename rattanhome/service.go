package rattanhome

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Methods that a home serves for other instances.
const (
	MethodSubmit = "SubmitJob"
	MethodCancel = "CancelJob"
)

const (
	// submitterTimeout is how long an instance may be silent before its jobs are
	// stopped. Together with the check interval it stays below the time after
	// which callers send their jobs again.
	submitterTimeout       = 700 * time.Millisecond
	submitterCheckInterval = 150 * time.Millisecond
)

// Request is a submission on its way to a home. Times are relative to when it
// was sent, because the clocks of instances differ.
type Request struct {
	// Holder is the instance whose caller waits, Incarnation its life.
	Holder      string
	Incarnation int64
	Job         *rattanwork.Job
	Service     string
	Priority    int
	MaxAttempts int
	Objective   time.Duration
	LateUntil   time.Duration
	Slack       float64
	Deadline    time.Duration
	Resumed     bool
	MayMove     bool
}

// Reply is the outcome of a request.
type Reply struct {
	// Moved says that the instance is not the home or no longer; the job may
	// be in progress.
	Moved bool
	Ended rattanscheduler.Ended
}

// Cancellation takes back a request because its caller has left.
type Cancellation struct {
	JobID  string
	Holder string
}

// Membership tells which instances live.
type Membership interface {
	// LastHeard returns when the instance was last heard of and its
	// incarnation.
	LastHeard(name string) (time.Time, int64)
	// Own returns the home that this instance is, or nil.
	Own() *Home
}

// Service takes jobs for the home of this instance, from its own callers and
// from other instances, and stops the jobs of instances that are gone.
type Service struct {
	name       string
	membership Membership
	clock      func() time.Time
	cancel     context.CancelFunc

	mutex sync.Mutex
	// lastCheck is when holders were last checked, resumed when this instance
	// last found that it had been paused.
	lastCheck time.Time
	resumedAt time.Time
	// submitters maps jobs to the instances whose callers wait for them.
	submitters map[string]map[string]submitter
}

type submitter struct {
	incarnation int64
	since       time.Time
}

// NewService returns the service of the instance with the name.
func NewService(name string, membership Membership, clock func() time.Time) *Service {
	return &Service{name: name, membership: membership, clock: clock, submitters: map[string]map[string]submitter{}}
}

// Name returns the name of the service in the kernel.
func (s *Service) Name() string {
	return "Home"
}

// Start begins to watch the holders of jobs.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.watchSubmitters(ctx)
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Routes sets the handlers for calls of other instances.
func (s *Service) Routes(node *rattanpeer.Node) {
	node.Handle(MethodSubmit, s.onSubmit)
	node.Handle(MethodCancel, s.onCancel)
}

// Submit waits for the outcome of a request.
func (s *Service) Submit(ctx context.Context, request *Request) (Reply, error) {
	home := s.membership.Own()
	if home == nil {
		return Reply{Moved: true}, nil
	}
	now := s.clock()
	s.addSubmitter(request, now)
	result, err := home.Submit(ctx, request.submission(now))
	if errors.Is(err, ErrDeposed) {
		s.removeSubmitter(request.Job.ID, request.Holder)
		return Reply{Moved: true}, nil
	}
	if err != nil {
		return Reply{}, err
	}
	s.removeSubmitter(request.Job.ID, request.Holder)
	return Reply{Ended: result}, nil
}

// Cancel takes a request back; the job is stopped when nobody waits for it any
// more.
func (s *Service) Cancel(cancellation Cancellation) bool {
	if !s.removeSubmitter(cancellation.JobID, cancellation.Holder) {
		return false
	}
	home := s.membership.Own()
	return home != nil && home.Cancel(cancellation.JobID)
}

func (r *Request) submission(now time.Time) rattanscheduler.Submission {
	return rattanscheduler.Submission{
		Job:          r.Job,
		Service:      r.Service,
		Priority:     r.Priority,
		MaxAttempts:  r.MaxAttempts,
		Objective:    now.Add(r.Objective),
		LateUntil:    now.Add(r.LateUntil),
		SlackFactor:  r.Slack,
		Deadline:     now.Add(r.Deadline),
		Resumed:      r.Resumed,
		Redirectable: r.MayMove,
	}
}

func (s *Service) addSubmitter(request *Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobSubmitters, ok := s.submitters[request.Job.ID]
	if !ok {
		jobSubmitters = map[string]submitter{}
		s.submitters[request.Job.ID] = jobSubmitters
	}
	jobSubmitters[request.Holder] = submitter{incarnation: request.Incarnation, since: now}
}

// removeSubmitter removes a holder and reports whether the job has none left.
func (s *Service) removeSubmitter(jobID, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobSubmitters, ok := s.submitters[jobID]
	if !ok {
		return false
	}
	delete(jobSubmitters, name)
	if len(jobSubmitters) > 0 {
		return false
	}
	delete(s.submitters, jobID)
	return true
}

func (s *Service) watchSubmitters(ctx context.Context) {
	ticker := time.NewTicker(submitterCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, cancellation := range s.goneSubmitters(s.clock()) {
			s.Cancel(cancellation)
		}
	}
}

// goneSubmitters returns the holds of instances that are silent or have started anew.
func (s *Service) goneSubmitters(now time.Time) []Cancellation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.lastCheck) > 2*submitterCheckInterval {
		// The instance was paused itself: what others sent meanwhile has yet
		// to be read.
		s.resumedAt = now
	}
	s.lastCheck = now
	var list []Cancellation
	for jobID, jobSubmitters := range s.submitters {
		for name, entry := range jobSubmitters {
			if name == s.name {
				continue
			}
			lastHeard, incarnation := s.membership.LastHeard(name)
			for _, earliest := range [...]time.Time{entry.since, s.resumedAt} {
				if lastHeard.Before(earliest) {
					lastHeard = earliest
				}
			}
			if now.Sub(lastHeard) > submitterTimeout || incarnation > entry.incarnation {
				list = append(list, Cancellation{JobID: jobID, Holder: name})
			}
		}
	}
	return list
}

func (s *Service) onSubmit(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Annotate(err, "request")
	}
	reply, err := s.Submit(ctx, &request)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(reply)
	return data, errors.Trace(err)
}

func (s *Service) onCancel(_ context.Context, _ string, body []byte) ([]byte, error) {
	var cancellation Cancellation
	if err := json.Unmarshal(body, &cancellation); err != nil {
		return nil, errors.Annotate(err, "cancellation")
	}
	s.Cancel(cancellation)
	return []byte("{}"), nil
}
