// Package rattanfront handles the HTTP requests of callers. It matches a
// request to a route, submits the job to the home of the zone, submits it again
// when the home changes, and answers the caller exactly once.
package rattanfront

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanlimit"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

// unavailableRetryAfter is the Retry-After time if the zone has no home, if no desired
// state is known, if the instance is shutting down or if it has no room.
const unavailableRetryAfter = time.Second

// HomeLocator finds the home of a zone.
type HomeLocator interface {
	// Home returns the claim of the zone's home, whether there is one, and a
	// channel that is closed when the home of this instance's zone changes.
	Home(zone string) (rattanzone.Claim, bool, <-chan struct{})
	// KeepAlive sends heartbeats to the instance at the address until release
	// is called, so that it does not consider this instance dead.
	KeepAlive(address string) (release func())
	// Zones returns the zone of this instance and the others whose home is known.
	Zones() []string
	// Successor returns the member of the zone that would become its home next.
	Successor() (rattanwork.Member, bool)
}

// LocalHome accepts jobs while this instance is the home of its zone.
type LocalHome interface {
	Submit(ctx context.Context, request *rattanhome.Request) (rattanhome.Reply, error)
	Cancel(cancellation rattanhome.Cancellation) bool
	CancelForCaller(cancellation rattanhome.CallerCancellation) rattanhome.CancellationReply
	SaveCancellation(ctx context.Context, cancellation rattanhome.CallerCancellation) error
	Presence(jobID string) rattanhome.JobPresence
}

// Peers sends calls to other instances.
type Peers interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// DesiredState holds the newest desired state that this instance has received.
// Its version never decreases.
type DesiredState interface {
	// State returns the state in force, nil if none is known.
	State() *rattanwork.DesiredState
	// Announce records that another instance has a version, which is fetched if it
	// is newer than the one in force.
	Announce(member rattanwork.Member, version int64, now time.Time)
	// Await returns once the version or a newer one is in force, or when ctx ends.
	Await(ctx context.Context, version int64)
	// Current reports whether the state in force was compared with that of another
	// instance or of the store since this instance was last paused.
	Current(now time.Time) bool
}

// Journal records the outcome of each submission.
type Journal interface {
	Answered(record AnswerRecord)
	// WithdrawalFailed reports that no home has confirmed in time that the
	// caller of a job has left.
	WithdrawalFailed(jobID, zone string, attempts int, err error)
	CancelAnswered(record CancelRecord)
	// CancelledJobSubmitted reports the submission of a job that its caller has
	// cancelled that long ago.
	CancelledJobSubmitted(jobID, submitter string, age time.Duration)
}

// AnswerRecord describes how a submission was answered.
type AnswerRecord struct {
	JobID  string
	Route  string
	Status int
	Reason string
	// Home is the instance that the job was last submitted to, Zone the zone of
	// that home and HomeToken the fencing token by which it was known.
	Home      string
	Zone      string
	HomeToken int64
	// Submissions counts the submissions to any home, Conflicts those that were not
	// accepted because of their version, and Unsettled those that a home may have
	// accepted without an answer that tells.
	Submissions int
	Conflicts   int
	Unsettled   int
	Elapsed     time.Duration
	// Version is the version of the desired state that applied to the request.
	Version int64
}

// Config configures a Handler.
type Config struct {
	Self         rattanwork.Member
	Homes        HomeLocator
	LocalHome    LocalHome
	Peers        Peers
	DesiredState DesiredState
	// Cancellations contains the jobs that were cancelled by their callers. If it
	// is nil, the handler starts with an empty record.
	Cancellations *rattancancel.Record
	// Bodies reads the bodies of requests. If it is nil, they are bounded as on a
	// machine of unknown size.
	Bodies  *rattanlimit.Bodies
	Journal Journal
	// Uptime returns the time since the start of this instance, 0 if it is nil.
	Uptime func(now time.Time) time.Duration
	Clock  func() time.Time
}

// Handler answers the HTTP requests of callers.
type Handler struct {
	config         Config
	activeRequests atomic.Int64
	// lookups limits how often homes are asked about jobs that are refused.
	lookups *rate.Limiter
	// saves is the number of cancellations that are being saved.
	saves atomic.Int64
	// submissions is the sequence number of the last submission to a home.
	submissions atomic.Int64
	// shutdownDeadline is the time at which the instance stops, nil unless it
	// is shutting down.
	shutdownDeadline atomic.Pointer[time.Time]

	mutex sync.Mutex
	// pending holds, by job ID, the submissions of this instance's callers and the
	// functions that end them.
	pending map[string]map[*submission]context.CancelCauseFunc
	// cancellations holds, by job ID, the cancellations in progress.
	cancellations map[string]*cancellation
}

// Reasons for ending a submission early.
const (
	// errCancelled reports that the caller cancelled its job with a DELETE
	// request.
	errCancelled = errors.ConstError("cancelled by its caller")
	errStopping  = errors.ConstError("instance stops")
	errDeadline  = errors.ConstError("deadline exceeded")
)

// New returns a handler.
func New(config Config) *Handler {
	if config.Cancellations == nil {
		config.Cancellations = rattancancel.NewRecord(config.Clock())
	}
	if config.Bodies == nil {
		limits := rattanlimit.ForMachine(0, 0)
		budget := rattanlimit.NewBudget(limits.BodyBytes, limits.ReservedBytes)
		config.Bodies = rattanlimit.NewBodies(budget, nil, config.Clock)
	}
	h := &Handler{
		config:        config,
		lookups:       rate.NewLimiter(lookupRate, lookupBurst),
		pending:       map[string]map[*submission]context.CancelCauseFunc{},
		cancellations: map[string]*cancellation{},
	}
	// The numbers of a later incarnation are higher.
	h.submissions.Store(config.Self.Incarnation)
	return h
}

// BeginShutdown makes the handler close the connection after each further
// answer and refuse jobs that may not end before the deadline.
func (h *Handler) BeginShutdown(deadline time.Time) {
	h.shutdownDeadline.Store(&deadline)
}

// AbortPending answers all submissions in progress, so that their callers can
// submit the jobs to another instance.
func (h *Handler) AbortPending() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, submissions := range h.pending {
		for _, cancel := range submissions {
			cancel(errStopping)
		}
	}
}

// uptime returns the time since the start of this instance, 0 if unknown.
func (h *Handler) uptime(now time.Time) time.Duration {
	if h.config.Uptime == nil {
		return 0
	}
	return h.config.Uptime(now)
}

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 {
	return h.activeRequests.Load()
}

// ServeHTTP answers one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	receivedAt := h.config.Clock()
	if h.shutdownDeadline.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if r.Method != http.MethodPost {
		rattanlimit.Skip(w, r, receivedAt)
	}
	state := h.config.DesiredState.State()
	if state == nil {
		rattanlimit.Skip(w, r, receivedAt)
		h.refuseUnread(w, lastSegment(r.URL.Path), "no desired state yet")
		return
	}
	route, ok := state.Match(hostName(r.Host), r.URL.Path)
	if !ok && r.Method == http.MethodDelete {
		h.cancelWithoutRoute(w, r, receivedAt)
		return
	}
	if !ok {
		state, route, ok = h.matchCurrent(r, receivedAt)
	}
	if !ok {
		rattanlimit.Skip(w, r, receivedAt)
		respond(w, http.StatusNotFound, platform.ErrorBody(noSuchQueue))
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.Prefix)
	switch {
	case r.Method == http.MethodPost:
		h.submit(w, r, &submission{
			handler: h, state: state, route: route, host: hostName(r.Host), path: r.URL.Path, header: r.Header, id: id, receivedAt: receivedAt,
		})
	case r.Method == http.MethodGet && id == "":
		respond(w, http.StatusOK, platform.PendingBody(0))
	case r.Method == http.MethodGet:
		respond(w, http.StatusGone, platform.ErrorBody("no such job"))
	case r.Method == http.MethodDelete:
		h.cancel(w, r, id, receivedAt)
	default:
		respond(w, http.StatusMethodNotAllowed, platform.ErrorBody("method is not allowed"))
	}
}

// submit decodes a job from the request body, runs it and answers.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, s *submission) {
	body, held, ok := h.receive(w, r, s)
	if !ok {
		return
	}
	defer held.Release()
	size := platform.DecodedSize(body)
	if !held.Resize(int64(len(body)) + size) {
		h.refuseUnread(w, s.id, rattanlimit.ErrNoRoom.Error())
		return
	}
	job, err := platform.ParseJob(s.id, body)
	switch {
	case errors.Is(err, platform.ErrUnsupported):
		s.recordAnswer(http.StatusServiceUnavailable, err.Error())
		refuse(w, http.StatusServiceUnavailable, unsupportedRetryAfter, err.Error())
		return
	case err != nil:
		s.recordAnswer(http.StatusBadRequest, err.Error())
		respond(w, http.StatusBadRequest, platform.ErrorBody(err.Error()))
		return
	}
	s.job = job
	held.Resize(size)
	if resp, refused := routeRefusal(s.route); refused {
		resp.write(w, s)
		return
	}
	s.setDeadlines()
	if deadline := h.shutdownDeadline.Load(); deadline != nil && s.lateUntil.After(*deadline) {
		s.recordAnswer(h.refuseUnread(w, s.id, "instance stops"), "instance stops")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if age, ok := h.registerPending(s, cancel); !ok {
		h.config.Journal.CancelledJobSubmitted(s.id, h.config.Self.Name, age)
		cancelledResponse().write(w, s)
		return
	}
	defer h.unregisterPending(s)
	s.run(ctx).write(w, s)
}

// unsupportedRetryAfter is the Retry-After time for jobs of a form that is not
// supported.
const unsupportedRetryAfter = time.Minute

// submitToHome sends a request to a home and waits for its reply.
func (h *Handler) submitToHome(ctx context.Context, claim rattanzone.Claim, request *rattanhome.Request) (rattanhome.Reply, error) {
	if claim.Name == h.config.Self.Name {
		return h.config.LocalHome.Submit(ctx, request)
	}
	return callHome[rattanhome.Reply](ctx, h.config.Peers, claim.Address, rattanhome.MethodSubmit, request)
}

// sendToHome sends a request to the home at an address and returns the encoded reply.
func sendToHome(ctx context.Context, peers Peers, address, method string, request any) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return peers.Call(ctx, address, method, body)
}

// callHome does the same and returns the decoded reply.
func callHome[Reply any](ctx context.Context, peers Peers, address, method string, request any) (Reply, error) {
	var reply, none Reply
	answer, err := sendToHome(ctx, peers, address, method, request)
	if err != nil {
		return none, err
	}
	if err := json.Unmarshal(answer, &reply); err != nil {
		// What could be decoded may be a part only.
		return none, errors.Annotatef(err, "decode reply of %s", address)
	}
	return reply, nil
}

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
	// A failed write means that the caller has left.
	_, _ = w.Write(body)
}

// refuse answers that the job has not run and when the caller may retry.
func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, message string) {
	seconds := max(1, int((retryAfter+time.Second-1)/time.Second))
	w.Header()["Retry-After"] = []string{strconv.Itoa(seconds)}
	respond(w, status, platform.ErrorBody(message))
}
