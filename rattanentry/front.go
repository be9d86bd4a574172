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
	// forwardMargin is the time that a forwarded request may take beyond the
	// wait that it asks for.
	forwardMargin = 2 * time.Second
	// forwardTries bounds the deliveries of one request to its home; a key
	// makes each of them idempotent.
	forwardTries = 4
	// retryUnknown is when a caller may ask again about an unreachable home.
	retryUnknown = rattanjson.Duration(300 * time.Millisecond)
)

// Methods of the links between instances.
const (
	methodSubmit  = "Submit"
	methodStatus  = "Status"
	methodCancel  = "Cancel"
	methodExplain = "Explain"
)

// Directory locates homes.
type Directory interface {
	// Owners returns the homes of this instance's own availability zone that
	// issue keys.
	Owners(now time.Time) []rattanmember.Member
	// Locate returns the peer address of the instance, and whether the
	// incarnation is known to have ended.
	Locate(incarnation rattanjob.Incarnation) (address string, ended bool)
	// Unreachable reports a failed attempt to reach an incarnation and returns
	// whether it is proved to have ended.
	Unreachable(now time.Time, incarnation rattanjob.Incarnation, refused bool) (ended bool)
	// Ended asks the witnesses of an epoch whether it has ended.
	Ended(ctx context.Context, key rattanjob.Key) bool
}

// PeerCaller sends requests to other instances.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
}

// Explainer tells what is known here of a job.
type Explainer interface {
	Explain(key rattanjob.Key, caller string) (json.RawMessage, bool)
}

// FrontConfig configures a Front. All fields are required. Connect sets those
// of other services.
type FrontConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Incarnation is the number of this run of the instance.
	Incarnation uint64
	Home        *Home
	Directory   Directory
	Peers       PeerCaller
	Metrics     *rattanmetric.Registry
	Explainer   Explainer
}

// Front serves callers: it issues keys, and hands submissions, look-ups and
// cancellations to the homes that their keys name.
type Front struct {
	rattankernel.NoopLifecycle

	config FrontConfig
	counts frontCounts

	mutex  sync.Mutex
	choice *rattanload.PoolChooser
}

// frontCounts are the counters of a front.
type frontCounts struct {
	issued    *metrics.Counter
	forwarded *metrics.Counter
}

// forwarded is the body of a request that a front hands to a home.
type forwarded struct {
	Caller     string
	Key        rattanjob.Key
	Wait       rattanjson.Duration   `json:",omitempty"`
	Submission *rattanjob.Submission `json:",omitempty"`
	// Digest is the ReceivedDigest of the submission.
	Digest uint64            `json:",omitempty"`
	Fault  *rattanjob.Answer `json:",omitempty"`
}

// delivered is the reply to a request that a front has handed to a home.
type delivered struct {
	rattanjob.Answer
	// Load is the load of the home's pool, in replies to submissions.
	Load *float64 `json:",omitempty"`
}

// KeysRequest asks for submission keys.
type KeysRequest struct {
	// Count is 1 to 1000; 0 means 1.
	Count int
}

// KeysReply holds submission keys.
type KeysReply struct {
	Keys []rattanjob.Key
}

// NewFront returns a front.
func NewFront(config FrontConfig) *Front {
	return &Front{config: config, choice: rattanload.NewPoolChooser(), counts: frontCounts{
		issued:    config.Metrics.Counter(rattanmetric.KeysIssuedTotal),
		forwarded: config.Metrics.Counter(rattanmetric.JobsForwardedTotal),
	}}
}

// Connect finds the services that this one uses.
func (f *Front) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &f.config.Home),
		rattankernel.DependsOn(serviceMembers, &f.config.Directory),
		rattankernel.DependsOn(serviceLinks, &f.config.Peers),
		rattankernel.DependsOn(serviceRecords, &f.config.Explainer),
	)
}

// Handle serves the requests that other fronts forward to the home here.
func (f *Front) Handle(node *rattanpeer.Node) {
	node.Handle(methodSubmit, f.serve(f.submitHere, f.config.Home.PoolLoad))
	node.Handle(methodStatus, f.serve(f.statusHere, nil))
	node.Handle(methodCancel, f.serve(f.cancelHere, nil))
	node.Handle(methodExplain, f.explainHere)
}

// Name returns the name of the service in the kernel.
func (f *Front) Name() string {
	return serviceFront
}

// Routes adds the callers' routes to the server.
func (f *Front) Routes(server *khttp.Server) {
	route := server.Route("/v1")
	route.POST("/keys", f.keys)
	route.POST("/jobs", f.submit)
	route.GET("/jobs/{key}", f.status)
	route.DELETE("/jobs/{key}", f.cancel)
	route.GET("/jobs/{key}/explain", f.explain)
}

// IssueKeys returns count keys for the caller that name homes of this
// instance's availability zone, chosen by the loads that are known here. It
// sends no message.
func (f *Front) IssueKeys(now time.Time, caller string, count int) ([]rattanjob.Key, bool) {
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
		owner := owners[f.choice.Choose(now, names, mathrand.IntN)]
		keys[i] = rattanjob.Key{
			Epoch:      owner.Epoch.ID,
			Witnesses:  owner.Epoch.Witnesses,
			IssuedAt:   owner.Epoch.Age,
			CallerHash: rattanjob.HashCaller(caller),
		}
		_, _ = rand.Read(keys[i].Nonce[:])
	}
	f.counts.issued.Add(count)
	return keys, true
}

func (f *Front) keys(ctx khttp.Context) error {
	caller, refusal := identify(ctx.Request())
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
		return respond(ctx, rattanjob.UnknownAnswer(rattanjob.ReasonNotReady, "no home is known in this availability zone", retryUnknown))
	}
	return ctx.JSON(http.StatusOK, KeysReply{Keys: keys})
}

func (f *Front) submit(ctx khttp.Context) error {
	caller, refusal := identify(ctx.Request())
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
	wait, refusal := waitOf(ctx.Request())
	if refusal != nil && request.Fault == nil {
		// Only the home can say whether the key was used before.
		request.Fault = refusal
	}
	request.Caller = caller
	request.Wait = rattanjson.Duration(wait)
	return respond(ctx, f.route(ctx, methodSubmit, request, f.submitHere))
}

func (f *Front) status(ctx khttp.Context) error {
	request, refusal := f.lookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	return respond(ctx, f.route(ctx, methodStatus, request, f.statusHere))
}

func (f *Front) cancel(ctx khttp.Context) error {
	request, refusal := f.lookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	request.Wait = 0
	return respond(ctx, f.route(ctx, methodCancel, request, f.cancelHere))
}

func (f *Front) explain(ctx khttp.Context) error {
	request, refusal := f.lookup(ctx)
	if refusal != nil {
		return respond(ctx, *refusal)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	var facts []byte
	if request.Key.Epoch.Home.Instance == f.config.Instance {
		facts, err = f.explainHere(ctx, f.config.Instance, body)
	} else {
		address, _ := f.config.Directory.Locate(request.Key.Epoch.Home)
		facts, err = f.config.Peers.Call(ctx, address, methodExplain, body)
	}
	if err != nil {
		return respond(ctx, rattanjob.Answer{Key: request.Key.String(), Reason: rattanjob.ReasonKeyUnknown, Detail: "nothing is recorded of this job"})
	}
	return ctx.Blob(http.StatusOK, "application/json", facts)
}

// lookup parses a request about one key. Its refusals say nothing about the
// execution of the job, which may have run.
func (f *Front) lookup(ctx khttp.Context) (*forwarded, *rattanjob.Answer) {
	text := ctx.Vars().Get("key")
	caller, refusal := identify(ctx.Request())
	if refusal != nil {
		return nil, unanswered(text, *refusal)
	}
	wait, refusal := waitOf(ctx.Request())
	if refusal != nil {
		return nil, unanswered(text, *refusal)
	}
	key, err := rattanjob.ParseKey(text)
	if err != nil {
		return nil, unanswered("", rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, err.Error()))
	}
	return &forwarded{Caller: caller, Key: key, Wait: rattanjson.Duration(wait)}, nil
}

// unanswered turns the refusal of a look-up into an answer that leaves open
// what became of the job.
func unanswered(key string, refusal rattanjob.Answer) *rattanjob.Answer {
	refusal.Key = key
	refusal.State = rattanjob.StateUnknown
	refusal.Execution = rattanjob.ExecutionMayHaveRun
	return &refusal
}

// route hands the request to the home that its key names, and delivers it
// again when the link breaks. The answer says when the home has ended.
func (f *Front) route(ctx context.Context, method string, request *forwarded, here func(context.Context, *forwarded) rattanjob.Answer) rattanjob.Answer {
	home := request.Key.Epoch.Home
	if f.isHere(home) {
		return here(ctx, request)
	}
	if home.Instance == f.config.Instance {
		answer := rattanjob.UnknownAnswer(rattanjob.ReasonHomeUnreachable, "a later incarnation of this instance is the home", retryUnknown)
		answer.Key = request.Key.String()
		answer.Undelivered = true
		return answer
	}
	began := time.Now()
	delivered := false
	for try := 0; ; try++ {
		answer, err := f.deliver(ctx, method, request)
		if err == nil {
			return answer
		}
		delivered = delivered || !notSent(err)
		answer = f.judge(ctx, request.Key, err)
		answer.Undelivered = !delivered
		left := time.Until(began.Add(request.Wait.Std()))
		if answer.State != rattanjob.StateUnknown || try+1 >= forwardTries || left <= 0 {
			return answer
		}
		request.Wait = rattanjson.Duration(left)
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(min(retryUnknown.Std(), left)):
		}
	}
}

// deliver sends the request to its home once.
func (f *Front) deliver(ctx context.Context, method string, request *forwarded) (rattanjob.Answer, error) {
	address, ended := f.config.Directory.Locate(request.Key.Epoch.Home)
	if ended {
		return lost(request.Key), nil
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
	f.counts.forwarded.Inc()
	reply, err := f.config.Peers.Call(ctx, address, method, body)
	if err != nil {
		return rattanjob.Answer{}, err
	}
	var decoded delivered
	if err := json.Unmarshal(reply, &decoded); err != nil {
		return decoded.Answer, errors.Trace(err)
	}
	answer := decoded.Answer
	if decoded.Load != nil {
		f.observe(request.Key.Epoch.Home.Instance, *decoded.Load)
	}
	if answer.Key != request.Key.String() {
		reportViolation(errors.WithType(errors.Errorf("answer for key %s to a request for %s", answer.Key, request.Key), ErrInvariant))
		return rattanjob.Answer{}, errors.Trace(ErrInvariant)
	}
	return answer, nil
}

// observe takes in the load of a home for the choice of pools.
func (f *Front) observe(home string, load float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.choice.Observe(time.Now(), home, load)
}

// judge decides what a failed delivery proves about the home.
func (f *Front) judge(ctx context.Context, key rattanjob.Key, err error) rattanjob.Answer {
	refused := errors.Is(err, rattanpeer.ErrRefused)
	if f.config.Directory.Unreachable(time.Now(), key.Epoch.Home, refused) || f.config.Directory.Ended(ctx, key) {
		return lost(key)
	}
	answer := rattanjob.UnknownAnswer(rattanjob.ReasonHomeUnreachable, "the home of the job does not answer and is not known to have ended: "+err.Error(), retryUnknown)
	answer.Key = key.String()
	return answer
}

// notSent reports whether the error of a call proves that the request was not
// sent.
func notSent(err error) bool {
	return errors.Is(err, rattanpeer.ErrRefused) || errors.Is(err, rattanpeer.ErrUnreachable)
}

// serve adapts a method of the home to a handler of the links. The reply holds
// the load if it is not nil.
func (f *Front) serve(here func(context.Context, *forwarded) rattanjob.Answer, load func(now time.Time) float64) rattanpeer.Handler {
	return func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		request := &forwarded{}
		if err := json.Unmarshal(body, request); err != nil {
			return nil, errors.Trace(err)
		}
		if home := request.Key.Epoch.Home; !f.isHere(home) {
			return nil, errors.Errorf("%s does not run at %s", home.Instance, f.config.Instance)
		}
		reply := delivered{Answer: here(ctx, request)}
		if load != nil {
			present := load(time.Now())
			reply.Load = &present
		}
		return json.Marshal(reply)
	}
}

// isHere reports whether the incarnation is this run of the instance or a
// former one. Only then may this instance say that the incarnation has ended:
// an instance that was replaced may be asked about its successor, and one that
// took over an address about the instance that had it.
func (f *Front) isHere(home rattanjob.Incarnation) bool {
	return home.Instance == f.config.Instance && home.Number <= f.config.Incarnation
}

func (f *Front) submitHere(ctx context.Context, request *forwarded) rattanjob.Answer {
	request.Submission.Key = request.Key
	request.Submission.ReceivedDigest = request.Digest
	answer := f.config.Home.Submit(ctx, request.Caller, request.Submission, request.Fault, request.Wait.Std())
	f.observe(f.config.Instance, f.config.Home.PoolLoad(time.Now()))
	return answer
}

func (f *Front) statusHere(ctx context.Context, request *forwarded) rattanjob.Answer {
	return f.config.Home.Status(ctx, request.Caller, request.Key, request.Wait.Std())
}

func (f *Front) cancelHere(_ context.Context, request *forwarded) rattanjob.Answer {
	return f.config.Home.Cancel(request.Caller, request.Key)
}

func (f *Front) explainHere(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request forwarded
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Trace(err)
	}
	facts, ok := f.config.Explainer.Explain(request.Key, request.Caller)
	if !ok {
		return nil, errors.NotFoundf("job")
	}
	return facts, nil
}

// parseSubmission decodes a submission. A body with a fault but a readable key
// is handed to the home with the fault, because only the home can say whether
// the key was used before.
func parseSubmission(body []byte) (*forwarded, *rattanjob.Answer) {
	submission := &rattanjob.Submission{}
	err := rattanjson.DecodeStrict(body, submission)
	if err == nil {
		err = submission.Check()
	}
	if err == nil {
		return &forwarded{Key: submission.Key, Submission: submission, Digest: submission.Digest()}, nil
	}
	fault := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, err.Error())
	var readable struct{ Key rattanjob.Key }
	if json.Unmarshal(body, &readable) != nil || readable.Key.Epoch.Home.Instance == "" {
		return nil, &fault
	}
	return &forwarded{Key: readable.Key, Submission: &rattanjob.Submission{Key: readable.Key}, Fault: &fault}, nil
}

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

func waitOf(request *http.Request) (time.Duration, *rattanjob.Answer) {
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
