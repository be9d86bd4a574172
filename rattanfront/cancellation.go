package rattanfront

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanzone"
)

//go:generate go tool stringer -linecomment -type=CancelOutcome -output=enum_string.go

// CancelOutcome states what has become of a caller's request to cancel a job.
type CancelOutcome int

// Outcomes of a request to cancel a job.
const (
	// JobCancelled means that the job was known, and neither starts nor goes on.
	JobCancelled CancelOutcome = iota // cancelled
	// JobUnknown means that no zone knows the job, and none will start it.
	JobUnknown // unknown
	// CancelUnconfirmed means that some zone that may run the job has neither
	// confirmed the cancellation in time nor is known to be out of reach. It takes
	// effect there later.
	CancelUnconfirmed // unconfirmed
	// CancelRefused means that too many requests cancel jobs that nobody knows, so
	// that this one is not remembered everywhere.
	CancelRefused // refused
	// InvalidID means that no job can have the ID.
	InvalidID // invalid ID
)

const (
	// cancellationTimeout bounds the time in which all zones confirm a
	// cancellation. Callers wait 4 s for the answer.
	cancellationTimeout = 3 * time.Second
	// minCancellationDelay is the delay before a cancellation is sent again. It
	// doubles with each attempt, up to maxCancellationDelay.
	minCancellationDelay = 50 * time.Millisecond
	maxCancellationDelay = 400 * time.Millisecond
	// maxCancellations bounds the number of cancellations in progress of jobs for
	// which this instance does not wait.
	maxCancellations = 1000
)

// CancelRecord describes how a request to cancel a job was answered.
type CancelRecord struct {
	JobID   string
	Outcome CancelOutcome
	// Zone is the zone whose home has ended the job, "" if none has.
	Zone string
	// Unconfirmed contains the zones that had not confirmed the cancellation yet,
	// Owed those that were out of reach. They get it when they are back.
	Unconfirmed []string
	Owed        []string
	// Saved is set if the cancellation is known to outlive the loss of all instances.
	Saved   bool
	Elapsed time.Duration
}

// cancellation is a cancellation in progress. Repeated requests join it.
type cancellation struct {
	request rattanhome.CallerCancellation
	// remembered is set if this instance remembers the cancellation.
	remembered bool
	// record is complete once done is closed.
	record CancelRecord
	done   chan struct{}
}

// cancel cancels a job in all zones that may run it, and answers.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request, id string, now time.Time) {
	if outcome, ok := h.awaitCancellation(r.Context(), id, now); ok {
		respondCancelled(w, outcome)
	}
}

// cancelWithoutRoute does the same for a request that matches no route. The route
// by which a job was accepted may have been removed since.
func (h *Handler) cancelWithoutRoute(w http.ResponseWriter, r *http.Request, now time.Time) {
	outcome, answered := InvalidID, true
	if id := lastSegment(r.URL.Path); platform.IsJobID(id) {
		outcome, answered = h.awaitCancellation(r.Context(), id, now)
	}
	switch {
	case !answered:
	case outcome == JobUnknown || outcome == InvalidID:
		respond(w, http.StatusNotFound, platform.ErrorBody(noSuchQueue))
	default:
		respondCancelled(w, outcome)
	}
}

// lastSegment returns the part of a path that is the ID of a job, whatever the route is.
func lastSegment(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// awaitCancellation cancels a job and returns the outcome. It returns false if the
// caller has left.
func (h *Handler) awaitCancellation(ctx context.Context, id string, now time.Time) (CancelOutcome, bool) {
	record := CancelRecord{JobID: id, Outcome: CancelRefused}
	if !platform.IsJobID(id) {
		record.Outcome = InvalidID
	} else if c := h.startCancellation(id, now); c != nil {
		select {
		case <-c.done:
			record = c.record
		case <-ctx.Done():
			return CancelUnconfirmed, false
		}
	}
	h.config.Journal.CancelAnswered(record)
	return record.Outcome, true
}

// respondCancelled answers a request to cancel a job.
func respondCancelled(w http.ResponseWriter, outcome CancelOutcome) {
	switch outcome {
	case JobCancelled:
		respond(w, http.StatusOK, platform.BodyCancelled)
	case CancelUnconfirmed:
		respond(w, http.StatusGatewayTimeout, platform.ErrorBody("not confirmed by all zones yet"))
	case CancelRefused:
		refuse(w, http.StatusServiceUnavailable, unavailableRetryAfter, "too many cancellations of unknown jobs")
	default:
		respond(w, http.StatusGone, platform.ErrorBody("no such job"))
	}
}

// startCancellation ends the submissions of a job on this instance, starts to
// cancel it in all zones, and returns the cancellation in progress. It returns nil
// if there are too many of jobs that this instance does not know.
func (h *Handler) startCancellation(id string, now time.Time) *cancellation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := len(h.pending[id]) > 0
	// A submission that begins later finds the cancellation in the record.
	remembered := h.config.Cancellations.Add(id, known, now)
	for _, cancel := range h.pending[id] {
		cancel(errCancelled)
	}
	if c, ok := h.cancellations[id]; ok {
		return c
	}
	if !known && len(h.cancellations) >= maxCancellations {
		return nil
	}
	c := &cancellation{
		request:    rattanhome.CallerCancellation{JobID: id, Known: known},
		remembered: remembered,
		done:       make(chan struct{}),
	}
	h.cancellations[id] = c
	go h.runCancellation(c, now)
	return c
}

// runCancellation cancels a job in all zones until the outcome is known, and has the
// cancellation saved at the same time. The answer about a job that nobody knows does
// not wait for that.
func (h *Handler) runCancellation(c *cancellation, startedAt time.Time) {
	saved := make(chan bool, 1)
	h.saves.Add(1)
	go func() {
		defer h.saves.Add(-1)
		saved <- h.saveCancellation(c.request)
	}()
	summary := h.cancelInZones(c.request)
	now := h.config.Clock()
	if summary.known() {
		// Others may displace the cancellations of unknown jobs.
		h.config.Cancellations.Add(c.request.JobID, true, now)
	}
	unconfirmed, owed := summary.outstanding()
	outcome, isSaved := summary.outcome(c), false
	if outcome != JobUnknown || h.saves.Load() > maxCancellations {
		isSaved = <-saved
		now = h.config.Clock()
	}
	c.record = CancelRecord{
		JobID: c.request.JobID, Outcome: outcome, Zone: summary.endedIn(), Unconfirmed: unconfirmed, Owed: owed, Saved: isSaved, Elapsed: now.Sub(startedAt),
	}
	h.mutex.Lock()
	delete(h.cancellations, c.request.JobID)
	h.mutex.Unlock()
	close(c.done)
}

// cancelInZones cancels a job in all zones until the outcome is known or
// cancellationTimeout has passed.
func (h *Handler) cancelInZones(request rattanhome.CallerCancellation) *cancelSummary {
	ctx, cancel := context.WithTimeout(context.Background(), cancellationTimeout)
	defer cancel()
	zones := h.config.Homes.Zones()
	summary := newCancelSummary(h.config.Self.Zone, zones)
	replies := make(chan zoneReply)
	for _, zone := range zones {
		go h.cancelInZone(ctx, zone, request, replies)
	}
	for !summary.settled() {
		select {
		case reply := <-replies:
			summary.add(reply)
		case <-ctx.Done():
			return summary
		}
	}
	return summary
}

// cancelInZone cancels a job in one zone until its home has confirmed it or ctx ends.
// The home of this instance's zone is asked again after that: it may find meanwhile
// that another zone is out of reach.
func (h *Handler) cancelInZone(ctx context.Context, zone string, request rattanhome.CallerCancellation, replies chan<- zoneReply) {
	for delay := minCancellationDelay; ; delay = min(2*delay, maxCancellationDelay) {
		if claim, ok, _ := h.config.Homes.Home(zone); ok {
			if reply, err := h.cancelForCaller(ctx, claim, request); err == nil {
				select {
				case replies <- zoneReply{zone, reply}:
				case <-ctx.Done():
					return
				}
				if reply.Confirmed && zone != h.config.Self.Zone {
					return
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// cancelForCaller sends a cancellation to one home. A cancellation in the home on
// this instance is also sent to the member of the zone that would succeed it, so
// that two instances remember it.
func (h *Handler) cancelForCaller(ctx context.Context, claim rattanzone.Claim, request rattanhome.CallerCancellation) (rattanhome.CancellationReply, error) {
	if claim.Name != h.config.Self.Name {
		return h.callCancelForCaller(ctx, claim.Address, request)
	}
	reply := h.config.LocalHome.CancelForCaller(request)
	if successor, ok := h.config.Homes.Successor(); ok && reply.Confirmed && reply.Remembered {
		request.Known = reply.Known
		// After a failure, the next heartbeat tells it.
		_, _ = h.callCancelForCaller(ctx, successor.Address, request)
	}
	return reply, nil
}

// callCancelForCaller sends a cancellation to another instance.
func (h *Handler) callCancelForCaller(ctx context.Context, address string, request rattanhome.CallerCancellation) (rattanhome.CancellationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawalCallTimeout)
	defer cancel()
	return callHome[rattanhome.CancellationReply](ctx, h.config.Peers, address, rattanhome.MethodCancelForCaller, request)
}

// registerPending records a submission of this instance's caller. It returns false
// if the caller has cancelled the job.
func (h *Handler) registerPending(s *submission, cancel context.CancelCauseFunc) (age time.Duration, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if age, cancelled := h.config.Cancellations.Contains(s.id, s.receivedAt); cancelled {
		return age, false
	}
	if h.pending[s.id] == nil {
		h.pending[s.id] = map[*submission]context.CancelCauseFunc{}
	}
	h.pending[s.id][s] = cancel
	return 0, true
}

func (h *Handler) unregisterPending(s *submission) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.pending[s.id], s)
	if len(h.pending[s.id]) == 0 {
		delete(h.pending, s.id)
	}
}

// cancelledResponse returns the response to a submission whose job was cancelled
// by its caller. No other status is true of such a job in all cases and keeps the
// caller from submitting it again.
func cancelledResponse() response {
	return response{status: http.StatusOK, body: platform.BodyCancelled, reason: "cancelled by its caller"}
}
