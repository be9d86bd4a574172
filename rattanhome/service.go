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
	// holderSilence is how long an instance may be silent before its jobs are
	// stopped. Together with the check interval it stays below the time after
	// which callers send their jobs again.
	holderSilence = 700 * time.Millisecond
	holderCheck   = 150 * time.Millisecond
)

// Request is a submission on its way to a home. Times are relative to when it
// was sent, because the clocks of instances differ.
type Request struct {
	// Submitter is the instance whose caller waits, Incarnation its life.
	Submitter    string
	Incarnation  int64
	Job          *rattanwork.Job
	Service      string
	Priority     int
	MaxAttempts  int
	Objective    time.Duration
	LateUntil    time.Duration
	SlackFactor  float64
	Deadline     time.Duration
	Resumed      bool
	Redirectable bool
}

// Reply is the outcome of a request.
type Reply struct {
	// NotHome says that the instance is not the home or no longer; the job may
	// be in progress.
	NotHome bool
	Result  rattanscheduler.JobResult
}

// Cancellation takes back a request because its caller has left.
type Cancellation struct {
	JobID     string
	Submitter string
}

// Presence tells which instances live.
type Presence interface {
	// LastHeard returns when the instance was last heard of and its
	// incarnation.
	LastHeard(name string) (time.Time, int64)
	// Own returns the home that this instance is, or nil.
	Own() *Home
}

// Service takes jobs for the home of this instance, from its own callers and
// from other instances, and stops the jobs of instances that are gone.
type Service struct {
	name     string
	presence Presence
	clock    func() time.Time
	cancel   context.CancelFunc

	mutex sync.Mutex
	// checked is when holders were last checked, resumed when this instance
	// last found that it had been paused.
	checked time.Time
	resumed time.Time
	// holders maps jobs to the instances whose callers wait for them.
	holders map[string]map[string]holder
}

type holder struct {
	incarnation int64
	since       time.Time
}

// NewService returns the service of the instance with the name.
func NewService(name string, presence Presence, clock func() time.Time) *Service {
	return &Service{name: name, presence: presence, clock: clock, holders: map[string]map[string]holder{}}
}

// Name returns the name of the service in the kernel.
func (s *Service) Name() string {
	return "Home"
}

// Start begins to watch the holders of jobs.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.watch(ctx)
	return nil
}

// Stop ends the watch.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// RegisterHandlers sets the handlers for calls of other instances.
func (s *Service) RegisterHandlers(node *rattanpeer.Node) {
	node.Handle(MethodSubmit, s.onSubmit)
	node.Handle(MethodCancel, s.onCancel)
}

// Submit waits for the outcome of a request.
func (s *Service) Submit(ctx context.Context, request *Request) (Reply, error) {
	own := s.presence.Own()
	if own == nil {
		return Reply{NotHome: true}, nil
	}
	now := s.clock()
	s.hold(request, now)
	ended, err := own.Submit(ctx, request.submission(now))
	if errors.Is(err, ErrDeposed) {
		s.release(request.Job.ID, request.Submitter)
		return Reply{NotHome: true}, nil
	}
	if err != nil {
		return Reply{}, err
	}
	s.release(request.Job.ID, request.Submitter)
	return Reply{Result: ended}, nil
}

// Cancel takes a request back; the job is stopped when nobody waits for it any
// more.
func (s *Service) Cancel(cancellation Cancellation) bool {
	if !s.release(cancellation.JobID, cancellation.Submitter) {
		return false
	}
	own := s.presence.Own()
	return own != nil && own.Cancel(cancellation.JobID)
}

func (r *Request) submission(now time.Time) rattanscheduler.Submission {
	return rattanscheduler.Submission{
		Job:         r.Job,
		Service:     r.Service,
		Priority:    r.Priority,
		MaxAttempts: r.MaxAttempts,
		Objective:   now.Add(r.Objective),
		LateUntil:   now.Add(r.LateUntil),
		Slack:       r.SlackFactor,
		Deadline:    now.Add(r.Deadline),
		Resumed:     r.Resumed,
		MayMove:     r.Redirectable,
	}
}

func (s *Service) hold(request *Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobHolders, ok := s.holders[request.Job.ID]
	if !ok {
		jobHolders = map[string]holder{}
		s.holders[request.Job.ID] = jobHolders
	}
	jobHolders[request.Submitter] = holder{incarnation: request.Incarnation, since: now}
}

// release removes a holder and reports whether the job has none left.
func (s *Service) release(jobID, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobHolders, ok := s.holders[jobID]
	if !ok {
		return false
	}
	delete(jobHolders, name)
	if len(jobHolders) > 0 {
		return false
	}
	delete(s.holders, jobID)
	return true
}

func (s *Service) watch(ctx context.Context) {
	ticker := time.NewTicker(holderCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, gone := range s.gone(s.clock()) {
			s.Cancel(gone)
		}
	}
}

// gone returns the holds of instances that are silent or have started anew.
func (s *Service) gone(now time.Time) []Cancellation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.checked) > 2*holderCheck {
		// The instance was paused itself: what others sent meanwhile has yet
		// to be read.
		s.resumed = now
	}
	s.checked = now
	var list []Cancellation
	for jobID, jobHolders := range s.holders {
		for name, h := range jobHolders {
			if name == s.name {
				continue
			}
			heard, incarnation := s.presence.LastHeard(name)
			for _, since := range [...]time.Time{h.since, s.resumed} {
				if heard.Before(since) {
					heard = since
				}
			}
			if now.Sub(heard) > holderSilence || incarnation > h.incarnation {
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
