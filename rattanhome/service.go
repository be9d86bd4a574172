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
	// submitterTimeout is how long an instance may be silent before its jobs
	// are cancelled. Together with the check interval it is shorter than the
	// time after which callers resubmit their jobs.
	submitterTimeout       = 700 * time.Millisecond
	submitterCheckInterval = 150 * time.Millisecond
)

// Request is a job submission sent to a home. Times are relative to the time of
// sending, because the clocks of instances differ.
type Request struct {
	// Submitter is the instance whose caller waits for the job, Incarnation the
	// incarnation of that instance.
	Submitter    string `json:"Holder"`
	Incarnation  int64
	Job          *rattanwork.Job
	Service      string
	Priority     int
	MaxAttempts  int
	Objective    time.Duration
	LateUntil    time.Duration
	SlackFactor  float64 `json:"Slack"`
	Deadline     time.Duration
	Resumed      bool
	EarlierHomes int
	Redirectable bool `json:"MayMove"`
}

// Reply is the answer to a Request.
type Reply struct {
	// NotHome is set if the instance is not, or no longer, the home of the
	// zone. The job may be in progress.
	NotHome bool                      `json:"Moved"`
	Result  rattanscheduler.JobResult `json:"Ended"`
}

// Cancellation withdraws a Request whose caller has left.
type Cancellation struct {
	JobID     string
	Submitter string `json:"Holder"`
}

// Membership reports which instances are alive.
type Membership interface {
	// LastHeard returns when the instance was last heard from and its
	// incarnation.
	LastHeard(name string) (time.Time, int64)
	// LocalHome returns the home on this instance, or nil.
	LocalHome() *Home
}

// Service accepts jobs for the home on this instance, both from its own callers
// and from other instances, and cancels the jobs of instances that are gone.
type Service struct {
	name       string
	membership Membership
	clock      func() time.Time
	cancel     context.CancelFunc

	mutex sync.Mutex
	// lastCheck is when the submitters were last checked, resumedAt when this
	// instance last noticed that it had been paused.
	lastCheck time.Time
	resumedAt time.Time
	// submitters maps each job to the instances whose callers wait for it.
	submitters map[string]map[string]submitter
}

// submitter is the incarnation of an instance that submitted a job, and the
// time of the submission.
type submitter struct {
	incarnation int64
	since       time.Time
}

// NewService returns the service of the named instance.
func NewService(name string, membership Membership, clock func() time.Time) *Service {
	return &Service{name: name, membership: membership, clock: clock, submitters: map[string]map[string]submitter{}}
}

// Name returns the name under which the service is registered in the kernel.
func (s *Service) Name() string {
	return "Home"
}

// Start starts watching the submitters of jobs.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.watchSubmitters(ctx)
	return nil
}

// Stop stops watching the submitters.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// RegisterHandlers registers the handlers for calls from other instances.
func (s *Service) RegisterHandlers(node *rattanpeer.Node) {
	node.Handle(MethodSubmit, s.onSubmit)
	node.Handle(MethodCancel, s.onCancel)
}

// Submit waits for the result of a job.
func (s *Service) Submit(ctx context.Context, request *Request) (Reply, error) {
	home := s.membership.LocalHome()
	if home == nil {
		return Reply{NotHome: true}, nil
	}
	now := s.clock()
	s.addSubmitter(request, now)
	result, err := home.Submit(ctx, request.submission(now))
	if errors.Is(err, ErrDeposed) {
		s.removeSubmitter(request.Job.ID, request.Submitter)
		return Reply{NotHome: true}, nil
	}
	if err != nil {
		return Reply{}, err
	}
	s.removeSubmitter(request.Job.ID, request.Submitter)
	return Reply{Result: result}, nil
}

// Cancel withdraws a request. The job is cancelled when no caller waits for it
// any more.
func (s *Service) Cancel(cancellation Cancellation) bool {
	if !s.removeSubmitter(cancellation.JobID, cancellation.Submitter) {
		return false
	}
	home := s.membership.LocalHome()
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
		SlackFactor:  r.SlackFactor,
		Deadline:     now.Add(r.Deadline),
		Resumed:      r.Resumed,
		EarlierHomes: r.EarlierHomes,
		Redirectable: r.Redirectable,
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
	jobSubmitters[request.Submitter] = submitter{incarnation: request.Incarnation, since: now}
}

// removeSubmitter removes a submitter of a job and reports whether it was the
// last one.
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

// goneSubmitters returns cancellations for the jobs of instances that are
// silent or have restarted.
func (s *Service) goneSubmitters(now time.Time) []Cancellation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.lastCheck) > 2*submitterCheckInterval {
		// The instance itself was paused: messages that arrived meanwhile have
		// not been read yet.
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
				list = append(list, Cancellation{JobID: jobID, Submitter: name})
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
	if err := request.Job.Check(); err != nil {
		return nil, errors.Annotatef(err, "request of %s", request.Submitter)
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
