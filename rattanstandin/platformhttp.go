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

// Errors of invalid requests.
const (
	errInvalidQuery = errors.ConstError("invalid query parameter")
	errInvalidBody  = errors.ConstError("invalid body")
)

// maxControlBodySize is the maximum size of the body of a control request.
const maxControlBodySize = 16 << 20

// handler serves the platform API and the control interface.
func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", p.handleCall(CallKindRead, p.serveGet))
	mux.HandleFunc("PUT /v1/kv/{key...}", p.handleCall(CallKindWrite, p.servePut))
	mux.HandleFunc("DELETE /v1/kv/{key...}", p.handleCall(CallKindWrite, p.serveDelete))
	mux.HandleFunc("GET /v1/watch/{prefix...}", p.handleCall(CallKindWatch, p.serveWatch))
	mux.HandleFunc("POST /v1/leases", p.handleCall(CallKindLease, p.serveGrant))
	mux.HandleFunc("PUT /v1/leases/{id}", p.handleCall(CallKindLease, p.serveRenew))
	mux.HandleFunc("GET /v1/instances", p.handleCall(CallKindInstances, p.serveInstances))
	mux.HandleFunc("GET /control/counts", p.serveCounts)
	mux.HandleFunc("DELETE /control/counts", p.serveResetCounts)
	mux.HandleFunc("GET /control/faults", p.serveFaults)
	mux.HandleFunc("POST /control/faults", p.serveSetFaults)
	mux.HandleFunc("POST /control/instances", p.serveChangeInstances)
	return mux
}

// callResponse is the response to an API call.
type callResponse struct {
	body any
	err  error
	// etag is sent as a header unless it is empty. notModified means that the
	// client already has the current contents.
	etag        string
	notModified bool
	// rawBody, if not nil, is sent in place of body, with contentEncoding.
	rawBody         []byte
	contentEncoding string
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string
	// Revision is the current revision of the key after a conflict.
	Revision int64 `json:",omitempty"`
}

// handleCall returns a handler that counts calls, enforces the rate limits and
// injects faults around serve.
func (p *Platform) handleCall(kind CallKind, serve func(r *http.Request) callResponse) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limiter := p.readLimiter
		if kind.IsWrite() {
			limiter = p.writeLimiter
		}
		allowed := limiter.Allow()
		p.callCounter.add(time.Now(), kind, !allowed)
		if !allowed {
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "rate limit"})
			return
		}
		// The server detects a disconnected client only after the body is read.
		requestBody, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rattanplatform.MaxValueSize))
		r.Body = io.NopCloser(bytes.NewReader(requestBody))
		if !p.applyFaults(w, r) {
			return
		}
		response := callResponse{err: classifyBodyError(err)}
		if err == nil {
			response = serve(r)
		}
		if faults := p.Faults(); kind.IsWrite() && faults.losesResponse() {
			panic(http.ErrAbortHandler)
		}
		if response.etag != "" {
			w.Header().Set("ETag", response.etag)
		}
		if response.notModified {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		if response.rawBody != nil {
			response.writeRawBody(w)
			return
		}
		status, body := response.statusAndBody()
		writeJSON(w, status, body)
	}
}

// applyFaults applies the outage and the latency. It reports whether the call
// takes effect.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	faults, faultsChanged := p.currentFaults()
	switch faults.outageFor(requestZone(r)) {
	case OutageUnavailable:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "outage"})
		return false
	case OutageClosed:
		panic(http.ErrAbortHandler)
	case OutageSilent:
		select {
		case <-faultsChanged:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Latency.Std())
	return true
}

func requestZone(r *http.Request) string {
	zone, _ := r.Context().Value(zoneContextKey{}).(string)
	return zone
}

// classifyBodyError adds the error type to an error of reading a body.
func classifyBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return errors.WithType(err, rattanplatform.ErrTooLarge)
	default:
		return errors.WithType(err, errInvalidBody)
	}
}

func (r *callResponse) statusAndBody() (status int, body any) {
	if r.err == nil {
		return http.StatusOK, r.body
	}
	errorBody := errorResponse{Error: r.err.Error()}
	if result, ok := r.body.(rattanplatform.WriteResult); ok {
		errorBody.Revision = result.Revision
	}
	switch {
	case errors.Is(r.err, rattanplatform.ErrConflict):
		return http.StatusConflict, errorBody
	case errors.Is(r.err, rattanplatform.ErrNotFound):
		return http.StatusNotFound, errorBody
	case errors.Is(r.err, rattanplatform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, errorBody
	case errors.Is(r.err, rattanplatform.ErrUnavailable):
		return http.StatusServiceUnavailable, errorBody
	default:
		return http.StatusBadRequest, errorBody
	}
}

// writeRawBody writes rawBody and its headers.
func (r *callResponse) writeRawBody(w http.ResponseWriter) {
	w.Header()["Content-Type"] = jsonContentType
	if r.contentEncoding != "" {
		w.Header().Set("Content-Encoding", r.contentEncoding)
	}
	_, _ = w.Write(r.rawBody)
}

func (p *Platform) serveGet(r *http.Request) callResponse {
	entry, err := p.store.get(r.PathValue("key"))
	return callResponse{body: entry, err: err}
}

func (p *Platform) servePut(r *http.Request) callResponse {
	query := r.URL.Query()
	ifRevision, err := parseIntParam(query, "IfRevision", rattanplatform.AnyRevision)
	if err != nil {
		return callResponse{err: err}
	}
	lease, err := parseIntParam(query, "Lease", rattanplatform.NoLease)
	if err != nil {
		return callResponse{err: err}
	}
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return callResponse{err: classifyBodyError(err)}
	}
	revision, err := p.store.put(r.PathValue("key"), value, ifRevision, lease)
	return callResponse{body: rattanplatform.WriteResult{Revision: revision}, err: err}
}

func (p *Platform) serveDelete(r *http.Request) callResponse {
	ifRevision, err := parseIntParam(r.URL.Query(), "IfRevision", rattanplatform.AnyRevision)
	if err != nil {
		return callResponse{err: err}
	}
	revision, err := p.store.remove(r.PathValue("key"), ifRevision)
	return callResponse{body: rattanplatform.WriteResult{Revision: revision}, err: err}
}

func (p *Platform) serveWatch(r *http.Request) callResponse {
	query := r.URL.Query()
	after, err := parseIntParam(query, "AfterRevision", 0)
	if err != nil {
		return callResponse{err: err}
	}
	wait, err := time.ParseDuration(query.Get("Wait"))
	if query.Has("Wait") && (err != nil || wait < 0 || wait > rattanplatform.MaxWatchWait) {
		return callResponse{err: errors.WithType(errors.Errorf("Wait: %q, want 0s to %v", query.Get("Wait"), rattanplatform.MaxWatchWait), errInvalidQuery)}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		faults, faultsChanged := p.currentFaults()
		outage := faults.outageFor(requestZone(r))
		if outage == OutageUnavailable || outage == OutageClosed {
			return callResponse{err: errors.WithType(errors.New("outage"), rattanplatform.ErrUnavailable)}
		}
		changes, changed := p.store.changes(r.PathValue("prefix"), after)
		if outage == OutageNone && (len(changes.Entries) > 0 || expired) {
			return callResponse{body: changes}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) serveGrant(r *http.Request) callResponse {
	var requested rattanplatform.Lease
	if err := readJSON(r, &requested); err != nil {
		return callResponse{err: err}
	}
	if requested.Duration <= 0 || requested.Duration.Std() > MaxLeaseDuration {
		return callResponse{err: errors.WithType(errors.Errorf("Duration: %v, want more than 0s and at most %v", requested.Duration, MaxLeaseDuration), errInvalidBody)}
	}
	return callResponse{body: p.store.grant(time.Now(), requested.Duration.Std())}
}

func (p *Platform) serveRenew(r *http.Request) callResponse {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return callResponse{err: errors.WithType(err, rattanplatform.ErrNotFound)}
	}
	lease, err := p.store.renew(time.Now(), id)
	return callResponse{body: lease, err: err}
}

// serveInstances serves the instance list. It supports a single ETag in
// If-None-Match.
func (p *Platform) serveInstances(r *http.Request) callResponse {
	faults := p.Faults()
	zone := r.URL.Query().Get("AvailabilityZone")
	lag := p.options.InstanceListLag + faults.InstanceListLag
	list := p.instances.encodedAt(time.Now(), lag.Std(), zone)
	if faults.MissingInstanceRate > 0 {
		list = list.withoutFraction(faults.MissingInstanceRate)
	}
	response := callResponse{rawBody: list.body, etag: list.etag, notModified: r.Header.Get("If-None-Match") == list.etag}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		response.rawBody, response.contentEncoding = list.compressed, "gzip"
	}
	return response
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}

func (p *Platform) serveResetCounts(w http.ResponseWriter, _ *http.Request) {
	p.ResetCounts()
	writeJSON(w, http.StatusOK, p.Counts())
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	p.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) serveChangeInstances(w http.ResponseWriter, r *http.Request) {
	var change InstanceChange
	if err := readJSON(r, &change); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	p.ChangeInstances(change)
	writeJSON(w, http.StatusOK, change)
}

// readJSON decodes a request body. Unknown fields are errors.
func readJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.WithType(err, errInvalidBody)
	}
	return nil
}

func parseIntParam(query url.Values, name string, defaultValue int64) (int64, error) {
	if !query.Has(name) {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0, errors.WithType(errors.Errorf("%s: %q", name, query.Get(name)), errInvalidQuery)
	}
	return value, nil
}
