package rattanentry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanload"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattanpeer"
)

const (
	defaultWait = 30 * time.Second
	maxWait     = 60 * time.Second
	maxKeys     = 1000
	// forwardMargin is how much longer than its wait a forwarded request may
	// take.
	forwardMargin = 2 * time.Second
	// maxForwardAttempts bounds the deliveries of one request to its home.
	// Repeated deliveries are idempotent because of the key.
	maxForwardAttempts = 4
	// retryAfterUnknown is how long a caller should wait before it asks again
	// after an answer that leaves the outcome open.
	retryAfterUnknown = rattanjson.Duration(300 * time.Millisecond)
)

// Methods of the requests between instances.
const (
	methodSubmit  = "Submit"
	methodStatus  = "Status"
	methodCancel  = "Cancel"
	methodExplain = "Explain"
)

// Directory locates homes.
type Directory interface {
	// Owners returns the homes of this instance's availability zone that issue
	// keys.
	Owners(now time.Time) []rattanmember.Member
	// Locate returns the peer address of the instance and reports whether the
	// incarnation is known to have ended.
	Locate(incarnation rattanjob.Incarnation) (address string, ended bool)
	// HandleUnreachable records a failed attempt to reach an incarnation and
	// reports whether the incarnation is proved to have ended.
	HandleUnreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) (ended bool)
	// EpochEnded asks the witnesses of the key's epoch whether the epoch has
	// ended.
	EpochEnded(ctx context.Context, key rattanjob.Key) bool
}

// PeerCaller sends requests to other instances.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Explainer returns the recorded trace of a job.
type Explainer interface {
	Explain(key rattanjob.Key, caller string) (json.RawMessage, bool)
}

// FrontendConfig configures a Frontend. All fields are required. Connect sets
// Home, Directory, Peers and Explainer.
type FrontendConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Incarnation numbers this run of the instance.
	Incarnation uint64
	Home        *Home
	Directory   Directory
	Peers       PeerCaller
	Metrics     *rattanmetric.Registry
	Explainer   Explainer
}

// Frontend serves callers: it issues keys and passes submissions, status
// requests and cancellations to the homes that their keys name.
type Frontend struct {
	rattankernel.NoopLifecycle

	config  FrontendConfig
	metrics frontendMetrics

	mutex       sync.Mutex
	poolChooser *rattanload.PoolChooser
}

// frontendMetrics holds the counters of a frontend.
type frontendMetrics struct {
	keysIssued    *metrics.Counter
	jobsForwarded *metrics.Counter
}

// forwardedRequest is the body of a request that a frontend forwards to a home.
type forwardedRequest struct {
	Caller     string
	Key        rattanjob.Key
	Wait       rattanjson.Duration   `json:",omitempty"`
	Submission *rattanjob.Submission `json:",omitempty"`
	// Digest is the ReceivedDigest of the submission.
	Digest uint64 `json:",omitempty"`
	// Refusal is set for a submission that was found to be invalid; see
	// Home.Submit.
	Refusal *rattanjob.Answer `json:"Fault,omitempty"`
}

// forwardedReply is the reply to a forwarded request.
type forwardedReply struct {
	rattanjob.Answer
	// Load is the load of the home's pool; only replies to submissions have it.
	Load *float64 `json:",omitempty"`
}

// KeysRequest requests submission keys.
type KeysRequest struct {
	// Count is the number of keys, 1 to 1000; 0 means 1.
	Count int
}

// KeysReply is the reply to a KeysRequest.
type KeysReply struct {
	Keys []rattanjob.Key
}

// NewFrontend returns a frontend.
func NewFrontend(config FrontendConfig) *Frontend {
	return &Frontend{config: config, poolChooser: rattanload.NewPoolChooser(), metrics: frontendMetrics{
		keysIssued:    config.Metrics.Counter(rattanmetric.KeysIssuedTotal),
		jobsForwarded: config.Metrics.Counter(rattanmetric.JobsForwardedTotal),
	}}
}

// Connect resolves the services that the frontend depends on.
func (f *Frontend) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &f.config.Home),
		rattankernel.DependsOn(serviceMembership, &f.config.Directory),
		rattankernel.DependsOn(servicePeers, &f.config.Peers),
		rattankernel.DependsOn(serviceRecorder, &f.config.Explainer),
	)
}

// Handle registers the handlers of requests that other frontends forward to the
// home of this instance.
func (f *Frontend) Handle(node *rattanpeer.Node) {
	node.Handle(methodSubmit, f.handlerFor(f.submitLocal, f.config.Home.PoolLoad))
	node.Handle(methodStatus, f.handlerFor(f.statusLocal, nil))
	node.Handle(methodCancel, f.handlerFor(f.cancelLocal, nil))
	node.Handle(methodExplain, f.explainLocal)
}

// Name returns the name of the service in the kernel.
func (f *Frontend) Name() string {
	return serviceFrontend
}

// Routes adds the routes for callers to the server.
func (f *Frontend) Routes(server *khttp.Server) {
	route := server.Route("/v1")
	route.POST("/keys", f.keys)
	route.POST("/jobs", f.submit)
	route.GET("/jobs/{key}", f.status)
	route.DELETE("/jobs/{key}", f.cancel)
	route.GET("/jobs/{key}/explain", f.explain)
}

// IssueKeys returns count keys for the caller. The keys name homes of this
// instance's availability zone, chosen by their last known loads. It returns
// false if no home is known. It sends no message.
func (f *Frontend) IssueKeys(now time.Time, caller string, count int) ([]rattanjob.Key, bool) {
	owners := f.config.Directory.Owners(now)
	if len(owners) == 0 {
		return nil, false
	}
	names := make([]string, len(owners))
	for i, owner := range owners {
		names[i] = owner.Incarnation.Instance
	}
	keys := make([]rattanjob.Key, count)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i := range keys {
		owner := owners[f.poolChooser.Choose(now, names, mathrand.IntN)]
		keys[i] = rattanjob.Key{
			Epoch:      owner.Epoch.ID,
			Witnesses:  owner.Epoch.Witnesses,
			IssuedAt:   owner.Epoch.Age,
			CallerHash: rattanjob.HashCaller(caller),
		}
		_, _ = rand.Read(keys[i].Nonce[:])
	}
	f.metrics.keysIssued.Add(count)
	return keys, true
}

func (f *Frontend) keys(ctx khttp.Context) error {
	caller, refusal := callerName(ctx.Request())
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	var request KeysRequest
	body, refusal := readBody(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	if len(body) > 0 {
		if err := rattanjson.DecodeStrict(body, &request); err != nil {
			return respond(ctx, rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, err.Error()))
		}
	}
	if request.Count < 0 || request.Count > maxKeys {
		return respond(ctx, rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, "Count: want 1 to 1000"))
	}
	keys, ok := f.IssueKeys(time.Now(), caller, max(request.Count, 1))
	if !ok {
		return respond(ctx, rattanjob.UnknownAnswer(rattanjob.ReasonNotReady, "no home is known in this availability zone", retryAfterUnknown))
	}
	return ctx.JSON(http.StatusOK, KeysReply{Keys: keys})
}

func (f *Frontend) submit(ctx khttp.Context) error {
	caller, refusal := callerName(ctx.Request())
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	body, refusal := readBody(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	request, refusal := parseSubmission(body)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	wait, refusal := parseWait(ctx.Request())
	if refusal != nil && request.Refusal == nil {
		// Only the home can say whether the key was used before.
		request.Refusal = refusal
	}
	request.Caller = caller
	request.Wait = rattanjson.Duration(wait)
	return respond(ctx, f.route(ctx, methodSubmit, request, f.submitLocal))
}

func (f *Frontend) status(ctx khttp.Context) error {
	request, refusal := f.parseLookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	return respond(ctx, f.route(ctx, methodStatus, request, f.statusLocal))
}

func (f *Frontend) cancel(ctx khttp.Context) error {
	request, refusal := f.parseLookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	request.Wait = 0
	return respond(ctx, f.route(ctx, methodCancel, request, f.cancelLocal))
}

func (f *Frontend) explain(ctx khttp.Context) error {
	request, refusal := f.parseLookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	var trace []byte
	if request.Key.Epoch.Home.Instance == f.config.Instance {
		trace, err = f.explainLocal(ctx, f.config.Instance, body)
	} else {
		address, _ := f.config.Directory.Locate(request.Key.Epoch.Home)
		trace, err = f.config.Peers.Call(ctx, address, methodExplain, body)
	}
	if err != nil {
		return respond(ctx, rattanjob.Answer{Key: request.Key.String(), Reason: rattanjob.ReasonKeyUnknown, Detail: "nothing is recorded of this job"})
	}
	return ctx.Blob(http.StatusOK, "application/json", trace)
}

// parseLookup parses a request about one key. Its refusals leave the execution
// of the job open, because the job may have run.
func (f *Frontend) parseLookup(ctx khttp.Context) (*forwardedRequest, *rattanjob.Answer) {
	text := ctx.Vars().Get("key")
	caller, refusal := callerName(ctx.Request())
	if refusal != nil {
		return nil, unknownOutcome(text, *refusal)
	}
	wait, refusal := parseWait(ctx.Request())
	if refusal != nil {
		return nil, unknownOutcome(text, *refusal)
	}
	key, err := rattanjob.ParseKey(text)
	if err != nil {
		return nil, unknownOutcome("", rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, err.Error()))
	}
	return &forwardedRequest{Caller: caller, Key: key, Wait: rattanjson.Duration(wait)}, nil
}

// unknownOutcome turns the refusal of a request about a key into an answer that
// leaves the outcome of the job open.
func unknownOutcome(key string, refusal rattanjob.Answer) *rattanjob.Answer {
	refusal.Key = key
	refusal.State = rattanjob.StateUnknown
	refusal.Execution = rattanjob.ExecutionMayHaveRun
	return &refusal
}

// route passes the request to the home that its key names. It delivers the
// request again when the connection breaks. If the home has ended, the answer
// says so.
func (f *Frontend) route(ctx context.Context, method string, request *forwardedRequest, local func(context.Context, *forwardedRequest) rattanjob.Answer) rattanjob.Answer {
	home := request.Key.Epoch.Home
	if f.isLocal(home) {
		return local(ctx, request)
	}
	if home.Instance == f.config.Instance {
		answer := rattanjob.UnknownAnswer(rattanjob.ReasonHomeUnreachable, "a later incarnation of this instance is the home", retryAfterUnknown)
		answer.Key = request.Key.String()
		answer.Undelivered = true
		return answer
	}
	start := time.Now()
	delivered := false
	for attempt := 0; ; attempt++ {
		answer, err := f.deliver(ctx, method, request)
		if err == nil {
			return answer
		}
		delivered = delivered || !provesNotSent(err)
		answer = f.failedDeliveryAnswer(ctx, request.Key, err)
		answer.Undelivered = !delivered
		remaining := time.Until(start.Add(request.Wait.Std()))
		if answer.State != rattanjob.StateUnknown || attempt+1 >= maxForwardAttempts || remaining <= 0 {
			return answer
		}
		request.Wait = rattanjson.Duration(remaining)
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(min(retryAfterUnknown.Std(), remaining)):
		}
	}
}

// deliver sends the request to its home once.
func (f *Frontend) deliver(ctx context.Context, method string, request *forwardedRequest) (rattanjob.Answer, error) {
	address, ended := f.config.Directory.Locate(request.Key.Epoch.Home)
	if ended {
		return homeLostAnswer(request.Key), nil
	}
	if address == "" {
		return rattanjob.Answer{}, errors.Annotatef(rattanpeer.ErrUnreachable, "instance %s has no known address at %s", request.Key.Epoch.Home.Instance, f.config.Instance)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return rattanjob.Answer{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait.Std()+forwardMargin)
	defer cancel()
	f.metrics.jobsForwarded.Inc()
	reply, err := f.config.Peers.Call(ctx, address, method, body)
	if err != nil {
		return rattanjob.Answer{}, err
	}
	var decoded forwardedReply
	if err := json.Unmarshal(reply, &decoded); err != nil {
		return decoded.Answer, errors.Trace(err)
	}
	answer := decoded.Answer
	if decoded.Load != nil {
		f.observeLoad(request.Key.Epoch.Home.Instance, *decoded.Load)
	}
	if answer.Key != request.Key.String() {
		reportViolation(errors.WithType(errors.Errorf("answer for key %s to a request for %s", answer.Key, request.Key), ErrInvariant))
		return rattanjob.Answer{}, errors.Trace(ErrInvariant)
	}
	return answer, nil
}

// observeLoad records the load of a home for the choice of pools.
func (f *Frontend) observeLoad(home string, load float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.poolChooser.Observe(time.Now(), home, load)
}

// failedDeliveryAnswer returns the answer to a request that could not be
// delivered: HomeLost if the home is proved to have ended, and otherwise an
// answer that leaves the outcome open.
func (f *Frontend) failedDeliveryAnswer(ctx context.Context, key rattanjob.Key, err error) rattanjob.Answer {
	refused := errors.Is(err, rattanpeer.ErrRefused)
	if f.config.Directory.HandleUnreachable(time.Now(), key.Epoch.Home, refused) || f.config.Directory.EpochEnded(ctx, key) {
		return homeLostAnswer(key)
	}
	answer := rattanjob.UnknownAnswer(rattanjob.ReasonHomeUnreachable, "the home of the job does not answer and is not known to have ended: "+err.Error(), retryAfterUnknown)
	answer.Key = key.String()
	return answer
}

// provesNotSent reports whether the error of a call proves that the request was
// not sent.
func provesNotSent(err error) bool {
	return errors.Is(err, rattanpeer.ErrRefused) || errors.Is(err, rattanpeer.ErrUnreachable)
}

// handlerFor wraps a request function as a handler of peer requests. The reply
// contains the load if load is not nil.
func (f *Frontend) handlerFor(local func(context.Context, *forwardedRequest) rattanjob.Answer, load func(now time.Time) float64) rattanpeer.Handler {
	return func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		request := &forwardedRequest{}
		if err := json.Unmarshal(body, request); err != nil {
			return nil, errors.Trace(err)
		}
		if home := request.Key.Epoch.Home; !f.isLocal(home) {
			return nil, errors.Errorf("%s does not run at %s", home.Instance, f.config.Instance)
		}
		reply := forwardedReply{Answer: local(ctx, request)}
		if load != nil {
			current := load(time.Now())
			reply.Load = &current
		}
		return json.Marshal(reply)
	}
}

// isLocal reports whether the incarnation is this run of the instance or an
// earlier one. Only then may this instance say that the incarnation has ended:
// an instance that was replaced may be asked about its successor, and one that
// took over an address may be asked about the previous user of the address.
func (f *Frontend) isLocal(home rattanjob.Incarnation) bool {
	return home.Instance == f.config.Instance && home.Number <= f.config.Incarnation
}

// submitLocal submits the job to the home of this instance and records the load
// of its pool.
func (f *Frontend) submitLocal(ctx context.Context, request *forwardedRequest) rattanjob.Answer {
	request.Submission.Key = request.Key
	request.Submission.ReceivedDigest = request.Digest
	answer := f.config.Home.Submit(ctx, request.Caller, request.Submission, request.Refusal, request.Wait.Std())
	f.observeLoad(f.config.Instance, f.config.Home.PoolLoad(time.Now()))
	return answer
}

func (f *Frontend) statusLocal(ctx context.Context, request *forwardedRequest) rattanjob.Answer {
	return f.config.Home.Status(ctx, request.Caller, request.Key, request.Wait.Std())
}

func (f *Frontend) cancelLocal(_ context.Context, request *forwardedRequest) rattanjob.Answer {
	return f.config.Home.Cancel(request.Caller, request.Key)
}

// explainLocal returns the trace that this instance has recorded of a job, as
// JSON. It is a rattanpeer.Handler.
func (f *Frontend) explainLocal(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request forwardedRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	trace, ok := f.config.Explainer.Explain(request.Key, request.Caller)
	if !ok {
		return nil, errors.NotFoundf("job")
	}
	return trace, nil
}

// parseSubmission decodes a submission. An invalid body with a readable key is
// passed to the home together with the refusal, because only the home knows
// whether the key was used before.
func parseSubmission(body []byte) (*forwardedRequest, *rattanjob.Answer) {
	submission := &rattanjob.Submission{}
	err := rattanjson.DecodeStrict(body, submission)
	if err == nil {
		err = submission.Check()
	}
	if err == nil {
		return &forwardedRequest{Key: submission.Key, Submission: submission, Digest: submission.Digest()}, nil
	}
	refusal := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, err.Error())
	var keyOnly struct{ Key rattanjob.Key }
	if json.Unmarshal(body, &keyOnly) != nil || keyOnly.Key.Epoch.Home.Instance == "" {
		return nil, &refusal
	}
	return &forwardedRequest{Key: keyOnly.Key, Submission: &rattanjob.Submission{Key: keyOnly.Key}, Refusal: &refusal}, nil
}

// readBody reads the body of a request, which may have at most
// rattanjob.MaxBodySize bytes.
func readBody(ctx khttp.Context) ([]byte, *rattanjob.Answer) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, rattanjob.MaxBodySize))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	refusal := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, "the body could not be read")
	if errors.As(err, &tooLarge) {
		refusal = rattanjob.RefusedAnswer(rattanjob.ReasonBodyTooLarge, "the body is larger than "+strconv.Itoa(rattanjob.MaxBodySize)+" bytes")
	}
	return nil, &refusal
}

// parseWait returns the wait that the request asks for.
func parseWait(request *http.Request) (time.Duration, *rattanjob.Answer) {
	text := request.URL.Query().Get("Wait")
	if text == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, "Wait: want a duration from 0s to 60s")
		return 0, &refusal
	}
	return wait, nil
}
