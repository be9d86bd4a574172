package rattanfront

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// WherePath is the path of the preview on the metrics listener.
	WherePath = "/where"
	// MaxWhereBody is the size of the largest body in bytes.
	MaxWhereBody = defaultMaxBody
	// whereBodyTimeout and whereHomeTimeout bound one request to less than a second.
	whereBodyTimeout = 400 * time.Millisecond
	whereHomeTimeout = 400 * time.Millisecond
	// maxWhereRequests bounds the memory for the bodies of concurrent requests to 1 MiB.
	maxWhereRequests = 4
	// previewJobID is the ID of a job whose path states none.
	previewJobID = "0000000000000000"
)

// Errors of a preview.
const (
	// ErrNoRoute means that the host and path match no route.
	ErrNoRoute = errors.ConstError("no route")
	// ErrInvalidPreview means that the job cannot be decoded.
	ErrInvalidPreview = errors.ConstError("invalid job")
	// ErrCannotTell means that the home of the zone is not known or gives no answer.
	ErrCannotTell = errors.ConstError("cannot tell")
)

// WhereHomes finds the home of a zone.
type WhereHomes interface {
	Home(zone string) (rattanzone.Claim, bool, <-chan struct{})
	// HomeAge returns the time since the home was last heard from.
	HomeAge(zone string, now time.Time) (time.Duration, bool)
}

// LocalPreviewer previews jobs while this instance is the home of its zone.
type LocalPreviewer interface {
	Preview(request *rattanhome.Request) rattanhome.PreviewReply
}

// WhereConfig configures a Where.
type WhereConfig struct {
	Self         rattanwork.Member
	Homes        WhereHomes
	LocalHome    LocalPreviewer
	Peers        Peers
	DesiredState DesiredState
	Clock        func() time.Time
}

// Where tells what would happen to a job that is submitted to this instance now.
type Where struct {
	config WhereConfig
	active atomic.Int64
}

// WhereReport tells what would happen to a job and what that is based on.
type WhereReport struct {
	Instance string
	Zone     string
	Route    string
	Service  string
	Priority int
	// DesiredVersion is the version of the desired state by which the route was matched,
	// HomeDesiredVersion that of the home's instance, 0 if the home was not asked.
	DesiredVersion     int64
	HomeDesiredVersion int64 `json:",omitempty"`
	// Home is the instance that decides, HomeAge the time since this instance last heard
	// of it.
	Home    string              `json:",omitempty"`
	HomeAge rattanjson.Duration `json:",omitempty"`
	// Evacuation is that of the zone as the home knows it, as of a store revision.
	Evacuation          string `json:",omitempty"`
	EvacuationsRevision int64  `json:",omitempty"`
	// Overloaded is set if the home refuses a share of all new jobs. Lag is how late it
	// handles events.
	Overloaded   bool                 `json:",omitempty"`
	Lag          rattanjson.Duration  `json:",omitempty"`
	InventoryAge *rattanjson.Duration `json:",omitempty"`
	Decision     rattanscheduler.Preview
}

// WhereError is the answer if nothing can be told.
type WhereError struct {
	Error string
}

// NewWhere returns a Where.
func NewWhere(config WhereConfig) *Where {
	return &Where{config: config}
}

// ServeHTTP answers a POST request with the job as its body. The query states the host
// and the path to which the job would be sent.
func (h *Where) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		respondWhere(w, http.StatusMethodNotAllowed, WhereError{"method is not allowed"})
		return
	}
	defer h.active.Add(-1)
	if h.active.Add(1) > maxWhereRequests {
		respondWhere(w, http.StatusServiceUnavailable, WhereError{"too many previews at the same time"})
		return
	}
	body, status, err := readWhereBody(w, r)
	if err != nil {
		respondWhere(w, status, WhereError{err.Error()})
		return
	}
	query := r.URL.Query()
	ctx, cancel := context.WithTimeout(r.Context(), whereHomeTimeout)
	defer cancel()
	report, err := h.Tell(ctx, query.Get("host"), query.Get("path"), r.Header, body)
	switch {
	case err == nil:
		respondWhere(w, http.StatusOK, report)
	case errors.Is(err, ErrNoRoute):
		respondWhere(w, http.StatusNotFound, WhereError{err.Error()})
	case errors.Is(err, ErrInvalidPreview):
		respondWhere(w, http.StatusBadRequest, WhereError{err.Error()})
	default:
		respondWhere(w, http.StatusServiceUnavailable, WhereError{err.Error()})
	}
}

// readWhereBody returns the body, or the status with which the request is refused.
func readWhereBody(w http.ResponseWriter, r *http.Request) (body []byte, status int, err error) {
	if r.ContentLength > MaxWhereBody {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body too large")
	}
	// Not every writer has a deadline; that of the server does, by the time of the system.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(whereBodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, MaxWhereBody))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body too large")
	}
	if err != nil {
		return nil, http.StatusRequestTimeout, errors.Annotate(err, "body not received")
	}
	// The deadline would end the request's context while the home is asked.
	_ = controller.SetReadDeadline(time.Time{})
	return body, 0, nil
}

// Tell returns what would happen to a job that a caller sends to the host and path now.
// The header is that of the caller's request.
func (h *Where) Tell(ctx context.Context, host, path string, header http.Header, body []byte) (WhereReport, error) {
	state := h.config.DesiredState.State()
	if state == nil {
		return WhereReport{}, errors.WithType(errors.New("no desired state yet"), ErrCannotTell)
	}
	route, ok := state.Match(hostName(host), path)
	if !ok {
		return WhereReport{}, errors.WithType(errors.Errorf("no route for host %.80q and path %.80q", host, path), ErrNoRoute)
	}
	report := WhereReport{
		Instance: h.config.Self.Name, Zone: h.config.Self.Zone, Route: route.Name, Service: route.Service, Priority: route.Priority, DesiredVersion: state.Version,
	}
	if state.MaxBodyBytes > 0 && int64(len(body)) > state.MaxBodyBytes {
		return report, errors.WithType(errors.Errorf("body of %d bytes, at most %d", len(body), state.MaxBodyBytes), ErrInvalidPreview)
	}
	id := strings.TrimPrefix(path, route.Prefix)
	if id == "" {
		id = previewJobID
	}
	job, err := platform.ParseJob(id, body)
	if errors.Is(err, platform.ErrUnsupported) {
		report.refuse(err.Error(), unsupportedRetryAfter)
		return report, nil
	}
	if err != nil {
		return report, errors.WithType(err, ErrInvalidPreview)
	}
	if refusal, refused := routeRefusal(route); refused {
		report.refuse(refusal.reason, refusal.retryAfter)
		return report, nil
	}
	s := &submission{state: state, route: route, header: header, id: id, job: job, receivedAt: h.config.Clock()}
	s.setDeadlines()
	return report, h.askHome(ctx, &report, s)
}

// refuse reports a refusal that needs no home.
func (r *WhereReport) refuse(reason string, retryAfter time.Duration) {
	r.Decision = rattanscheduler.Preview{Outcome: rattanscheduler.PreviewRefused, Reason: reason, RetryAfter: rattanjson.Duration(retryAfter)}
}

// askHome adds to the report what the home of the zone tells.
func (h *Where) askHome(ctx context.Context, report *WhereReport, s *submission) error {
	claim, ok, _ := h.config.Homes.Home(h.config.Self.Zone)
	if !ok {
		return errors.WithType(errors.Errorf("zone %s has no home that %s knows", h.config.Self.Zone, h.config.Self.Name), ErrCannotTell)
	}
	report.Home = claim.Name
	if age, ok := h.config.Homes.HomeAge(h.config.Self.Zone, s.receivedAt); ok && claim.Name != h.config.Self.Name {
		report.HomeAge = rattanjson.Duration(age)
	}
	reply, err := h.preview(ctx, claim, s.previewRequest())
	switch {
	case errors.Is(err, rattanpeer.ErrNoMethod):
		return errors.WithType(errors.Errorf("home %s is of a former version that has no preview", claim.Name), ErrCannotTell)
	case err != nil:
		return errors.WithType(errors.Annotatef(err, "home %s", claim.Name), ErrCannotTell)
	case reply.NotHome:
		return errors.WithType(errors.Errorf("%s is no longer the home of zone %s", claim.Name, h.config.Self.Zone), ErrCannotTell)
	}
	report.HomeDesiredVersion = reply.Version
	report.Evacuation, report.EvacuationsRevision = reply.Evacuation, reply.EvacuationsRevision
	report.Overloaded, report.Lag, report.InventoryAge = reply.Overloaded, reply.Lag, reply.InventoryAge
	report.Decision = reply.Preview
	return nil
}

// previewRequest returns a request that is never submitted, as the first one of a caller.
func (s *submission) previewRequest() *rattanhome.Request {
	request := s.jobRequest(s.receivedAt)
	request.Redirectable = true
	return request
}

// preview asks the home that holds the claim.
func (h *Where) preview(ctx context.Context, claim rattanzone.Claim, request *rattanhome.Request) (rattanhome.PreviewReply, error) {
	if claim.Name == h.config.Self.Name {
		return h.config.LocalHome.Preview(request), nil
	}
	return callHome[rattanhome.PreviewReply](ctx, h.config.Peers, claim.Address, rattanhome.MethodPreview, request)
}

func respondWhere(w http.ResponseWriter, status int, reply any) {
	body, err := json.Marshal(reply)
	if err != nil {
		// The types of replies have no values that cannot be encoded.
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	respond(w, status, body)
}
