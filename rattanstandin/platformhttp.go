package rattanstandin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanplatform"
)

// Errors of malformed calls.
const (
	errQuery = errors.ConstError("invalid query parameter")
	errBody  = errors.ConstError("invalid body")
)

// maxControlSize bounds the body of a control call.
const maxControlSize = 16 << 20

// handler returns the platform's and the control interface.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.call(CallKindRead, p.serveGet))
	mux.HandleFunc("PUT /v1/kv/{key...}", p.call(CallKindWrite, p.servePut))
	mux.HandleFunc("DELETE /v1/kv/{key...}", p.call(CallKindWrite, p.serveDelete))
	mux.HandleFunc("GET /v1/watch/{prefix...}", p.call(CallKindWatch, p.serveWatch))
	mux.HandleFunc("POST /v1/leases", p.call(CallKindLease, p.serveGrant))
	mux.HandleFunc("PUT /v1/leases/{id}", p.call(CallKindLease, p.serveRenew))
	mux.HandleFunc("GET /v1/instances", p.call(CallKindInstances, p.serveInstances))
	mux.HandleFunc("GET /control/counts", p.serveCounts)
	mux.HandleFunc("DELETE /control/counts", p.serveResetCounts)
	mux.HandleFunc("GET /control/faults", p.serveFaults)
	mux.HandleFunc("POST /control/faults", p.serveSetFaults)
	mux.HandleFunc("POST /control/instances", p.serveChangeInstances)
	return mux
}

// reply is the answer to a call.
type reply struct {
	body any
	err  error
	// etag is sent with the answer unless it is empty, and unchanged says that
	// the client has the contents already.
	etag      string
	unchanged bool
	// raw is sent in place of body, with the content encoding, unless it is nil.
	raw      []byte
	encoding string
}

// failure is the body of an answer that is an error.
type failure struct {
	Error string
	// Revision is the revision that a key in conflict has.
	Revision int64 `json:",omitempty"`
}

// call wraps the effect of a call into counting, limits and faults.
func (p *Platform) call(kind CallKind, effect func(r *http.Request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limiter := p.reads
		if kind.IsWrite() {
			limiter = p.writes
		}
		allowed := limiter.Allow()
		p.counts.add(time.Now(), kind, !allowed)
		if !allowed {
			answer(w, http.StatusServiceUnavailable, failure{Error: "rate limit"})
			return
		}
		// The server notices a client that has gone only after the body is read.
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rattanplatform.MaxValueSize))
		r.Body = io.NopCloser(bytes.NewReader(value))
		if !p.pass(w, r) {
			return
		}
		reply := reply{err: bodyError(err)}
		if err == nil {
			reply = effect(r)
		}
		if faults := p.Faults(); kind.IsWrite() && faults.loses() {
			panic(http.ErrAbortHandler)
		}
		if reply.etag != "" {
			w.Header().Set("ETag", reply.etag)
		}
		if reply.unchanged {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		if reply.raw != nil {
			reply.write(w)
			return
		}
		status, body := reply.render()
		answer(w, status, body)
	}
}

// pass applies the outage and the latency, and reports whether the call is to
// take effect.
func (p *Platform) pass(w http.ResponseWriter, r *http.Request) bool {
	faults, switched := p.currentFaults()
	switch faults.outage(zoneOf(r)) {
	case OutageUnavailable:
		answer(w, http.StatusServiceUnavailable, failure{Error: "outage"})
		return false
	case OutageClosed:
		panic(http.ErrAbortHandler)
	case OutageSilent:
		select {
		case <-switched:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Latency.Std())
	return true
}

func zoneOf(r *http.Request) string {
	zone, _ := r.Context().Value(zoneKey{}).(string)
	return zone
}

// bodyError returns the error of a body that could not be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return errors.WithType(err, rattanplatform.ErrTooLarge)
	default:
		return errors.WithType(err, errBody)
	}
}

func (r *reply) render() (status int, body any) {
	if r.err == nil {
		return http.StatusOK, r.body
	}
	failure := failure{Error: r.err.Error()}
	if written, ok := r.body.(rattanplatform.WriteResult); ok {
		failure.Revision = written.Revision
	}
	switch {
	case errors.Is(r.err, rattanplatform.ErrConflict):
		return http.StatusConflict, failure
	case errors.Is(r.err, rattanplatform.ErrNotFound):
		return http.StatusNotFound, failure
	case errors.Is(r.err, rattanplatform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, failure
	case errors.Is(r.err, rattanplatform.ErrUnavailable):
		return http.StatusServiceUnavailable, failure
	default:
		return http.StatusBadRequest, failure
	}
}

// write sends the raw body.
func (r *reply) write(w http.ResponseWriter) {
	w.Header()["Content-Type"] = contentType
	if r.encoding != "" {
		w.Header().Set("Content-Encoding", r.encoding)
	}
	_, _ = w.Write(r.raw)
}

func (p *Platform) serveGet(r *http.Request) reply {
	entry, err := p.store.get(r.PathValue("key"))
	return reply{body: entry, err: err}
}

func (p *Platform) servePut(r *http.Request) reply {
	query := r.URL.Query()
	ifRevision, err := number(query, "IfRevision", rattanplatform.AnyRevision)
	if err != nil {
		return reply{err: err}
	}
	lease, err := number(query, "Lease", rattanplatform.NoLease)
	if err != nil {
		return reply{err: err}
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return reply{err: bodyError(err)}
	}
	revision, err := p.store.put(r.PathValue("key"), value, ifRevision, lease)
	return reply{body: rattanplatform.WriteResult{Revision: revision}, err: err}
}

func (p *Platform) serveDelete(r *http.Request) reply {
	ifRevision, err := number(r.URL.Query(), "IfRevision", rattanplatform.AnyRevision)
	if err != nil {
		return reply{err: err}
	}
	revision, err := p.store.remove(r.PathValue("key"), ifRevision)
	return reply{body: rattanplatform.WriteResult{Revision: revision}, err: err}
}

func (p *Platform) serveWatch(r *http.Request) reply {
	query := r.URL.Query()
	after, err := number(query, "AfterRevision", 0)
	if err != nil {
		return reply{err: err}
	}
	wait, err := time.ParseDuration(query.Get("Wait"))
	if query.Has("Wait") && (err != nil || wait < 0 || wait > rattanplatform.MaxWatchWait) {
		return reply{err: errors.WithType(errors.Errorf("Wait: %q, want 0s to %v", query.Get("Wait"), rattanplatform.MaxWatchWait), errQuery)}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		faults, switched := p.currentFaults()
		outage := faults.outage(zoneOf(r))
		if outage == OutageUnavailable || outage == OutageClosed {
			return reply{err: errors.WithType(errors.New("outage"), rattanplatform.ErrUnavailable)}
		}
		changes, changed := p.store.changes(r.PathValue("prefix"), after)
		if outage == OutageNone && (len(changes.Entries) > 0 || expired) {
			return reply{body: changes}
		}
		select {
		case <-changed:
		case <-switched:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) serveGrant(r *http.Request) reply {
	var wanted rattanplatform.Lease
	if err := readJSON(r, &wanted); err != nil {
		return reply{err: err}
	}
	if wanted.Duration <= 0 || wanted.Duration.Std() > MaxLeaseDuration {
		return reply{err: errors.WithType(errors.Errorf("Duration: %v, want more than 0s and at most %v", wanted.Duration, MaxLeaseDuration), errBody)}
	}
	return reply{body: p.store.grant(time.Now(), wanted.Duration.Std())}
}

func (p *Platform) serveRenew(r *http.Request) reply {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return reply{err: errors.WithType(err, rattanplatform.ErrNotFound)}
	}
	lease, err := p.store.renew(time.Now(), id)
	return reply{body: lease, err: err}
}

// serveInstances answers a read of the instance list. If-None-Match holds one
// ETag.
func (p *Platform) serveInstances(r *http.Request) reply {
	faults := p.Faults()
	zone := r.URL.Query().Get("AvailabilityZone")
	lag := p.options.InstanceListLag + faults.InstanceListLag
	part := p.instances.at(time.Now(), lag.Std(), zone)
	if faults.MissingInstances > 0 {
		part = part.without(faults.MissingInstances)
	}
	answer := reply{raw: part.body, etag: part.etag, unchanged: r.Header.Get("If-None-Match") == part.etag}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		answer.raw, answer.encoding = part.compressed, "gzip"
	}
	return answer
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, p.Counts())
}

func (p *Platform) serveResetCounts(w http.ResponseWriter, _ *http.Request) {
	p.ResetCounts()
	answer(w, http.StatusOK, p.Counts())
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		answer(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	p.SetFaults(faults)
	answer(w, http.StatusOK, faults)
}

func (p *Platform) serveChangeInstances(w http.ResponseWriter, r *http.Request) {
	var change InstanceChange
	if err := readJSON(r, &change); err != nil {
		answer(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	p.ChangeInstances(change)
	answer(w, http.StatusOK, change)
}

// readJSON reads a control body; unknown fields are errors.
func readJSON(r *http.Request, target any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.WithType(err, errBody)
	}
	return nil
}

func number(query url.Values, name string, missing int64) (int64, error) {
	if !query.Has(name) {
		return missing, nil
	}
	value, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0, errors.WithType(errors.Errorf("%s: %q", name, query.Get(name)), errQuery)
	}
	return value, nil
}
