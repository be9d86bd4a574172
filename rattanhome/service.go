package rattanhome

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
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
	// lostCallGrace is how long a job outlives the connection on which its
	// instance waits for it. An instance whose caller still waits submits the
	// job again at once.
	lostCallGrace = 400 * time.Millisecond
	// backlogTime is how long this instance takes after a pause to read what
	// others have sent meanwhile.
	backlogTime = 300 * time.Millisecond
	// resubmissionDelay is the least time between the loss of an instance and the
	// time at which its callers submit their jobs again, less the difference of
	// the clocks involved.
	resubmissionDelay = 1250 * time.Millisecond
)

// Request is a job submission sent to a home. Times are relative to the time of
// sending, because the clocks of instances differ.
type Request struct {
	// Submitter is the instance whose caller waits for the job, Incarnation the
	// incarnation of that instance.
	Submitter   string `json:"Holder"`
	Incarnation int64
	// Sequence increases with each submission of the instance, 0 if it is of the
	// former version.
	Sequence int64 `json:",omitempty"`
	// FirstUnsettled is the number of the first submission of the job, up to this one,
	// that a home may have accepted, if all of these were addressed to the home with
	// the fencing token HomeToken. Otherwise both are 0.
	FirstUnsettled int64 `json:",omitempty"`
	HomeToken      int64 `json:",omitempty"`
	// Uptime is the time from the start of the instance to the sending of the
	// request, 0 if it is of the former version.
	Uptime time.Duration `json:",omitempty"`
	// Version is the version of the desired state by which the job is submitted, 0
	// if the submitter is of the former version.
	Version      int64 `json:",omitempty"`
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
	Redirected   bool `json:",omitempty"`
	// Tried contains the zones that have redirected or refused the job.
	Tried []string `json:",omitempty"`
}

// Reply is the answer to a Request.
type Reply struct {
	// NotHome is set if the instance is not, or no longer, the home of the
	// zone. The job may be in progress.
	NotHome bool `json:"Moved"`
	// NotAccepted is set if this submission has started no task and will not start
	// any, because the instance has not become its home or has rejected it before.
	NotAccepted bool `json:",omitempty"`
	// Conflict is set if the job was not accepted because of its version of the
	// desired state.
	Conflict *VersionConflict          `json:",omitempty"`
	Result   rattanscheduler.JobResult `json:"Ended"`
	// CancelledByCaller is set if the job was cancelled by its caller. Otherwise, a
	// job that is cancelled has lost the instance that waited for it.
	CancelledByCaller bool `json:",omitempty"`
}

// Cancellation withdraws a Request whose caller has left.
type Cancellation struct {
	JobID     string
	Submitter string `json:"Holder"`
	// Sequence is that of the last submission that is withdrawn, 0 if all are.
	Sequence int64 `json:",omitempty"`
}

// Membership reports which instances are alive.
type Membership interface {
	// LastHeard returns when the last message that was received from the
	// instance was sent, and its incarnation.
	LastHeard(name string) (time.Time, int64)
	// Suspended returns for how long the steady clock of this machine has stood
	// still.
	Suspended() time.Duration
	// SentAt returns when the instance sent a message that states its uptime.
	SentAt(name string, uptime time.Duration, now time.Time) time.Time
	// Address returns the address of the instance, "" if it is not known.
	Address(name string) string
	// LocalHome returns the home on this instance, or nil.
	LocalHome() *Home
	// Reachability returns from which zones this instance has heard lately, nil if
	// that says nothing about the others.
	Reachability(now time.Time) *Reachability
}

// ServiceJournal records why jobs were withdrawn.
type ServiceJournal interface {
	// JobWithdrawn reports that an instance no longer counts as waiting for a
	// job, although it has not said so.
	JobWithdrawn(jobID, submitter, reason string)
	// VersionsDiffer reports a job that was submitted by another version of the
	// desired state than the one in force on this instance.
	VersionsDiffer(difference VersionDifference)
	// CancelledForCaller reports the cancellation of a job by its caller.
	CancelledForCaller(jobID string, reply CancellationReply)
	// CancelledJobSubmitted reports that an instance is told that the job for which
	// it waits was cancelled by its caller that long ago.
	CancelledJobSubmitted(jobID, submitter string, age time.Duration)
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Name is the name of this instance.
	Name       string
	Membership Membership
	// DesiredState is that of this instance.
	DesiredState DesiredState
	// Cancellations contains the jobs that were cancelled by their callers. If it
	// is nil, the service starts with an empty record.
	Cancellations *rattancancel.Record
	// Saver saves cancellations for callers. If it is nil, none is saved.
	Saver   CancellationSaver
	Journal ServiceJournal
	// Knowledge is stated in previews. If it is nil, they state none.
	Knowledge Knowledge
	Clock     func() time.Time
}

// Service accepts jobs for the home on this instance, both from its own callers
// and from other instances, and cancels the jobs of instances that are gone.
type Service struct {
	config ServiceConfig
	cancel context.CancelFunc

	mutex sync.Mutex
	// lastCheck is when the submitters were last checked, lastSuspended for how long
	// the steady clock had stood still then, resumedAt when this instance last
	// noticed that it had been paused.
	lastCheck     time.Time
	lastSuspended time.Duration
	resumedAt     time.Time
	// submitters maps each job to the instances whose callers wait for it.
	submitters map[string]map[string]submitter
	// acceptances contains the submissions to homes on this instance. A submission
	// that was overtaken by its withdrawal is not accepted.
	acceptances acceptanceRecord
}

// submitter is an instance whose caller waits for a job.
type submitter struct {
	incarnation int64
	// since is when the last submission was sent, suspended for how long the steady
	// clock had stood still when it arrived, and sequence the highest number of one.
	since     time.Time
	suspended time.Duration
	sequence  int64
	// calls is the number of calls in which the instance waits for the job,
	// lostAt the time at which the last of them was lost.
	calls  int
	lostAt time.Time
}

// NewService returns the service of an instance.
func NewService(config ServiceConfig) *Service {
	if config.Cancellations == nil {
		config.Cancellations = rattancancel.NewRecord(config.Clock())
	}
	return &Service{config: config, submitters: map[string]map[string]submitter{}, acceptances: newAcceptanceRecord()}
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
	node.Handle(MethodCancelForCaller, s.onCancelForCaller)
	node.Handle(MethodSaveCancellation, s.onSaveCancellation)
	node.Handle(MethodPreview, s.onPreview)
	node.Handle(MethodPresence, s.onPresence)
}

// Submit waits for the result of a job.
func (s *Service) Submit(ctx context.Context, request *Request) (Reply, error) {
	home := s.config.Membership.LocalHome()
	if home == nil {
		return Reply{NotHome: true, NotAccepted: true}, nil
	}
	receivedAt := s.config.Clock()
	if conflict := s.resolveVersion(ctx, home, request, receivedAt); conflict != nil {
		return Reply{Conflict: conflict}, nil
	}
	now := s.config.Clock()
	if !s.addSubmitter(request, receivedAt, now) {
		return Reply{NotAccepted: true, Result: rattanscheduler.JobResult{JobID: request.Job.ID, Outcome: rattanscheduler.Cancelled}}, nil
	}
	result, err := home.Submit(ctx, request.submission(receivedAt))
	if errors.Is(err, ErrDeposed) || errors.Is(err, ErrClosed) {
		s.removeSubmitter(Cancellation{JobID: request.Job.ID, Submitter: request.Submitter}, now)
		return Reply{NotHome: true, NotAccepted: errors.Is(err, ErrClosed)}, nil
	}
	if err != nil {
		s.recordLostCall(request, s.config.Clock())
		return Reply{}, err
	}
	s.removeSubmitter(Cancellation{JobID: request.Job.ID, Submitter: request.Submitter}, now)
	return s.reply(request, result), nil
}

// Cancel withdraws a request. The job is cancelled when no caller waits for it
// any more. A job that is not known may have been submitted to an earlier home.
func (s *Service) Cancel(cancellation Cancellation) bool {
	if !s.removeSubmitter(cancellation, s.config.Clock()) {
		return false
	}
	home := s.config.Membership.LocalHome()
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
		Redirected:   r.Redirected,
		Tried:        r.Tried,
	}
}

// addSubmitter records that an instance waits for a job, and reports false if the
// submission was rejected before or is of an earlier incarnation.
func (s *Service) addSubmitter(request *Request, receivedAt, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.Incarnation < s.submitters[request.Job.ID][request.Submitter].incarnation {
		return false
	}
	if !s.acceptances.accept(request.Submitter, request.Job.ID, request.Sequence, now) {
		return false
	}
	jobSubmitters, ok := s.submitters[request.Job.ID]
	if !ok {
		jobSubmitters = map[string]submitter{}
		s.submitters[request.Job.ID] = jobSubmitters
	}
	entry := jobSubmitters[request.Submitter]
	if entry.incarnation != request.Incarnation {
		entry = submitter{incarnation: request.Incarnation}
	}
	entry.since, entry.suspended = s.sentAt(request, receivedAt), s.config.Membership.Suspended()
	entry.sequence = max(entry.sequence, request.Sequence)
	entry.calls++
	jobSubmitters[request.Submitter] = entry
	return true
}

// sentAt returns when a request was sent.
func (s *Service) sentAt(request *Request, receivedAt time.Time) time.Time {
	if request.Submitter == s.config.Name {
		return receivedAt
	}
	return s.config.Membership.SentAt(request.Submitter, request.Uptime, receivedAt)
}

// WaitUntil implements rattanscheduler.Callers.
func (s *Service) WaitUntil(jobID string, now time.Time) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var latest time.Time
	for name, entry := range s.submitters[jobID] {
		if until := s.lastSign(name, entry, now).Add(resubmissionDelay); until.After(latest) {
			latest = until
		}
	}
	return latest
}

// lastSign returns the last time at which an instance certainly waited for a job,
// zero if it does not wait for it any more.
func (s *Service) lastSign(name string, entry submitter, now time.Time) time.Time {
	if entry.calls == 0 {
		return time.Time{}
	}
	if name == s.config.Name {
		return now
	}
	lastHeard, incarnation := s.config.Membership.LastHeard(name)
	if incarnation > entry.incarnation {
		return time.Time{}
	}
	return s.latestSign(entry, lastHeard)
}

// latestSign returns the later one of the submission and the last heartbeat of an
// instance. While this machine is suspended, the submission becomes older too.
func (s *Service) latestSign(entry submitter, lastHeard time.Time) time.Time {
	since := entry.since.Add(entry.suspended - s.config.Membership.Suspended())
	if lastHeard.Before(since) {
		return since
	}
	return lastHeard
}

// recordLostCall records that an instance can no longer receive the result of a
// job in the call with which it submitted the job.
func (s *Service) recordLostCall(request *Request, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry, ok := s.submitters[request.Job.ID][request.Submitter]
	if !ok || entry.incarnation != request.Incarnation {
		return
	}
	entry.calls--
	entry.lostAt = now
	s.submitters[request.Job.ID][request.Submitter] = entry
}

// removeSubmitter removes a submitter of a job and reports whether the job has
// no other. A cancellation does not apply to later submissions.
func (s *Service) removeSubmitter(cancellation Cancellation, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	jobSubmitters := s.submitters[cancellation.JobID]
	entry, ok := jobSubmitters[cancellation.Submitter]
	s.acceptances.reject(cancellation.Submitter, cancellation.JobID, cancellation.Sequence, now)
	if ok && cancellation.Sequence != 0 && entry.sequence > cancellation.Sequence {
		return false
	}
	delete(jobSubmitters, cancellation.Submitter)
	if len(jobSubmitters) > 0 {
		return false
	}
	delete(s.submitters, cancellation.JobID)
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
		for _, gone := range s.goneSubmitters(s.config.Clock()) {
			s.config.Journal.JobWithdrawn(gone.JobID, gone.Submitter, gone.reason)
			s.Cancel(gone.Cancellation)
		}
	}
}

// goneSubmitter is a cancellation on behalf of an instance that is gone.
type goneSubmitter struct {
	Cancellation
	reason string
}

// goneSubmitters returns cancellations for the jobs of instances that are
// silent, have restarted or have lost the connection on which they wait.
func (s *Service) goneSubmitters(now time.Time) []goneSubmitter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// The checks of a home that lacks processor time are always late.
	suspended := s.config.Membership.Suspended()
	elapsed := now.Sub(s.lastCheck) + suspended - s.lastSuspended
	if !s.lastCheck.IsZero() && elapsed > 2*submitterCheckInterval && now.Sub(s.resumedAt) >= submitterTimeout {
		s.resumedAt = now
	}
	s.lastCheck, s.lastSuspended = now, suspended
	s.acceptances.forget(now)
	if now.Sub(s.resumedAt) < backlogTime {
		return nil
	}
	var list []goneSubmitter
	for jobID, jobSubmitters := range s.submitters {
		for name, entry := range jobSubmitters {
			if name == s.config.Name {
				continue
			}
			if reason := s.goneReason(name, entry, now); reason != "" {
				list = append(list, goneSubmitter{Cancellation{JobID: jobID, Submitter: name}, reason})
			}
		}
	}
	return list
}

// goneReason returns why an instance no longer waits for a job, "" if it does.
func (s *Service) goneReason(name string, entry submitter, now time.Time) string {
	lastHeard, incarnation := s.config.Membership.LastHeard(name)
	lastHeard = s.latestSign(entry, lastHeard)
	switch {
	case incarnation > entry.incarnation:
		return "instance restarted"
	case now.Sub(lastHeard) > submitterTimeout:
		return "instance silent"
	case entry.calls == 0 && now.Sub(entry.lostAt) > lostCallGrace:
		return "call lost"
	default:
		return ""
	}
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
	if !s.isHome() {
		return nil, errNotHome
	}
	return []byte("{}"), nil
}

// errNotHome means that this instance cannot confirm a cancellation.
const errNotHome = errors.ConstError("not the home of the zone")

// isHome reports whether this instance is the home of its zone and has not been
// deposed.
func (s *Service) isHome() bool {
	home := s.config.Membership.LocalHome()
	if home == nil {
		return false
	}
	select {
	case <-home.Deposed():
		return false
	default:
		return true
	}
}
