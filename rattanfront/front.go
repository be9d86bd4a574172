// Package rattanfront serves callers: it finds the route of a request, presents
// the job to the home of the zone, presents it again when the home changes, and
// answers once.
package rattanfront

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// homeRetry is when a caller should come back while the zone has no home.
	homeRetry = time.Second
	// maxBody bounds a body while no desired state states a limit.
	maxBody = 256 << 10
)

// Homes finds the home of a zone.
type Homes interface {
	Home(zone string) (rattanzone.Claim, bool, <-chan struct{})
	// Contact keeps the instance at the address informed that this one lives.
	Contact(address string) (release func())
}

// Local takes jobs if this instance is the home.
type Local interface {
	Submit(ctx context.Context, request *rattanhome.Request) (rattanhome.Reply, error)
	Cancel(cancellation rattanhome.Cancellation) bool
}

// Peers carries calls to other instances.
type Peers interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// States returns the desired state in force, nil if none is known.
type States interface {
	State() *rattanwork.DesiredState
}

// Journal receives what became of each request.
type Journal interface {
	Answered(answer Answer)
}

// Answer describes how a submission was answered.
type Answer struct {
	JobID  string
	Route  string
	Status int
	Reason string
	// Home is the instance that decided, Presented how often the job was
	// presented to a home, Zone the zone of that home.
	Home      string
	Zone      string
	Presented int
	Elapsed   time.Duration
	// Version is that of the desired state which the request was handled by.
	Version int64
}

// Config configures a Front.
type Config struct {
	Self    rattanwork.Member
	Homes   Homes
	Local   Local
	Peers   Peers
	States  States
	Journal Journal
	Clock   func() time.Time
}

// Front is the handler of callers' requests.
type Front struct {
	config Config
	active atomic.Int64
	// until is when the instance ends, nil while it does not shut down.
	until atomic.Pointer[time.Time]

	mutex sync.Mutex
	// pending holds the jobs of this instance's callers.
	pending map[string]context.CancelCauseFunc
}

// Causes of the end of a submission.
const (
	// errCancelled says that the caller cancelled its job by a request.
	errCancelled = errors.ConstError("cancelled by its caller")
	errStopping  = errors.ConstError("instance stops")
	errDeadline  = errors.ConstError("deadline exceeded")
)

// New returns a front.
func New(config Config) *Front {
	return &Front{config: config, pending: map[string]context.CancelCauseFunc{}}
}

// Close makes all further answers close their connection. Jobs that may not end
// before the instance does are refused.
func (f *Front) Close(until time.Time) {
	f.until.Store(&until)
}

// Abandon answers all requests in progress: their callers may send them again
// elsewhere.
func (f *Front) Abandon() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, cancel := range f.pending {
		cancel(errStopping)
	}
}

// Active returns the number of requests in progress.
func (f *Front) Active() int64 {
	return f.active.Load()
}

// ServeHTTP answers one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	arrived := f.config.Clock()
	if f.until.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	state := f.config.States.State()
	if state == nil {
		refuse(w, http.StatusServiceUnavailable, homeRetry, "no desired state yet")
		return
	}
	route, ok := state.Match(hostName(r.Host), r.URL.Path)
	if !ok {
		respond(w, http.StatusNotFound, platform.ErrorBody("no such queue"))
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.Prefix)
	switch {
	case r.Method == http.MethodPost:
		f.submit(w, r, &submission{front: f, state: state, route: route, id: id, arrived: arrived})
	case r.Method == http.MethodGet && id == "":
		respond(w, http.StatusOK, platform.PendingBody(0))
	case r.Method == http.MethodGet:
		respond(w, http.StatusGone, platform.ErrorBody("no such job"))
	case r.Method == http.MethodDelete:
		f.cancel(w, id)
	default:
		respond(w, http.StatusMethodNotAllowed, platform.ErrorBody("method is not allowed"))
	}
}

// cancel ends a job of a caller of this instance.
func (f *Front) cancel(w http.ResponseWriter, id string) {
	f.mutex.Lock()
	cancel, ok := f.pending[id]
	f.mutex.Unlock()
	if !ok {
		respond(w, http.StatusGone, platform.ErrorBody("no such job"))
		return
	}
	cancel(errCancelled)
	respond(w, http.StatusOK, platform.BodyCancelled)
}

// submit reads a job, has it run and answers.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, s *submission) {
	limit := s.state.MaxBodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		s.journal(http.StatusRequestEntityTooLarge, "body too large")
		respond(w, http.StatusRequestEntityTooLarge, platform.ErrorBody("body too large"))
		return
	}
	if err != nil {
		s.journal(0, "body not received")
		return
	}
	job, err := platform.ParseJob(s.id, body)
	switch {
	case errors.Is(err, platform.ErrUnsupported):
		s.journal(http.StatusServiceUnavailable, err.Error())
		refuse(w, http.StatusServiceUnavailable, unsupportedRetry, err.Error())
		return
	case err != nil:
		s.journal(http.StatusBadRequest, err.Error())
		respond(w, http.StatusBadRequest, platform.ErrorBody(err.Error()))
		return
	}
	s.job = job
	if s.route.NeedsAdvice {
		s.journal(http.StatusServiceUnavailable, "queues with advice are not served")
		refuse(w, http.StatusServiceUnavailable, unsupportedRetry, "queues with advice are not served")
		return
	}
	s.setTimes(r.Header)
	if until := f.until.Load(); until != nil && s.lateUntil.After(*until) {
		s.journal(http.StatusServiceUnavailable, "instance stops")
		refuse(w, http.StatusServiceUnavailable, homeRetry, "instance stops")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	f.remember(job.ID, cancel)
	defer f.forget(job.ID)
	s.run(ctx).write(w, s)
}

// unsupportedRetry is sent with refusals of jobs of a form that is not served.
const unsupportedRetry = time.Minute

func (f *Front) remember(id string, cancel context.CancelCauseFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pending[id] = cancel
}

func (f *Front) forget(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.pending, id)
}

// present hands a request to a home and waits for its reply.
func (f *Front) present(ctx context.Context, claim rattanzone.Claim, request *rattanhome.Request) (rattanhome.Reply, error) {
	if claim.Name == f.config.Self.Name {
		return f.config.Local.Submit(ctx, request)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return rattanhome.Reply{}, errors.Trace(err)
	}
	answer, err := f.config.Peers.Call(ctx, claim.Address, rattanhome.MethodSubmit, body)
	if err != nil {
		return rattanhome.Reply{}, err
	}
	var reply rattanhome.Reply
	err = json.Unmarshal(answer, &reply)
	return reply, errors.Annotatef(err, "reply of %s", claim.Name)
}

// withdraw takes a request back from a home because its caller has left.
func (f *Front) withdraw(claim rattanzone.Claim, jobID string) {
	cancellation := rattanhome.Cancellation{JobID: jobID, Submitter: f.config.Self.Name}
	if claim.Name == f.config.Self.Name {
		f.config.Local.Cancel(cancellation)
		return
	}
	body, err := json.Marshal(cancellation)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	// A lost cancellation ends the job at its deadline at the latest.
	_, _ = f.config.Peers.Call(ctx, claim.Address, rattanhome.MethodCancel, body)
}

const withdrawTimeout = 500 * time.Millisecond

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func respond(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	// A write that fails means that the caller has left.
	_, _ = w.Write(body)
}

// refuse answers that the request has not run and when to come back.
func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, message string) {
	seconds := max(1, int((retryAfter+time.Second-1)/time.Second))
	w.Header()["Retry-After"] = []string{strconv.Itoa(seconds)}
	respond(w, status, platform.ErrorBody(message))
}
