package rattanhome

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// MaxListedStarts bounds the number of start requests in a list. The newest are
	// listed.
	MaxListedStarts = 256
	// listInterval is the interval of lists while start requests leave them and none
	// is added.
	listInterval = 50 * time.Millisecond
	// unansweredListing is how long start requests are listed after the time for their
	// answer is over, by when heartbeats have named them.
	unansweredListing = 300 * time.Millisecond
)

// StartList is the complete list of the start requests of a home that have no answer
// yet. If the home is lost, any of them may still be carried out.
type StartList struct {
	FencingToken int64
	// Number increases with each list of the home.
	Number int64
	Starts []ListedStart
}

// ListedStart is a start request in a list.
type ListedStart struct {
	// Task contains no space.
	Task    string
	Target  string
	Attempt int
}

// ErrMalformedStart reports a start request in a form that no instance sends.
const ErrMalformedStart = errors.ConstError("malformed start request")

// MarshalText returns the task, the attempt and the target, separated by spaces: lists
// are sent for each start.
func (s ListedStart) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s %d %s", s.Task, s.Attempt, s.Target), nil
}

// UnmarshalText reads what MarshalText returns.
func (s *ListedStart) UnmarshalText(text []byte) error {
	task, rest, _ := strings.Cut(string(text), " ")
	attempt, target, _ := strings.Cut(rest, " ")
	number, err := strconv.Atoi(attempt)
	if err != nil || number <= 0 || task == "" || target == "" {
		return ErrMalformedStart
	}
	*s = ListedStart{Task: task, Target: target, Attempt: number}
	return nil
}

// StartExchange exchanges lists of start requests with other instances.
type StartExchange interface {
	// Tell sends a list to the instances that must know of the requests if this home
	// is lost. It returns when the list is written to the connections, or after a few
	// milliseconds.
	Tell(list StartList)
	// RemoteStarts returns the start requests of a job that another zone's home has
	// listed and that may still be carried out, with that zone.
	RemoteStarts(jobID string, now time.Time) (zone string, starts []rattanscheduler.OutstandingStart)
}

// pendingStarts keeps the start requests without an answer and decides when they are
// listed.
type pendingStarts struct {
	number int64
	starts map[ListedStart]pendingStart
	// told is closed when the start requests that no list contains yet are told. It
	// is nil if there are none.
	told chan struct{}
	// changed is set if the last list contains start requests that have left since.
	changed bool
	// checkedAt is when the last list was made, or found to be still valid.
	checkedAt time.Time
}

// pendingStart is the state of a start request without an answer.
type pendingStart struct {
	sequence int64
	// listedUntil is when the request leaves the list, zero while its answer is
	// awaited.
	listedUntil time.Time
}

// add adds a start request, and returns a channel that is closed when it is told.
func (p *pendingStarts) add(start ListedStart) (told <-chan struct{}) {
	if p.starts == nil {
		p.starts = map[ListedStart]pendingStart{}
	}
	if p.told == nil {
		p.told = make(chan struct{})
	}
	p.number++
	p.starts[start] = pendingStart{sequence: p.number}
	return p.told
}

// answered removes a start request that was answered.
func (p *pendingStarts) answered(start ListedStart) {
	delete(p.starts, start)
	p.changed = true
}

// unanswered records that the time for the answer to a start request is over.
func (p *pendingStarts) unanswered(start ListedStart, now time.Time) {
	pending := p.starts[start]
	pending.listedUntil = now.Add(unansweredListing)
	p.starts[start] = pending
}

// next returns the time until a list may be due, false if that takes another start
// request.
func (p *pendingStarts) next(now time.Time) (time.Duration, bool) {
	switch {
	case p.told != nil:
		return 0, true
	case p.changed || len(p.starts) > 0:
		return max(0, p.checkedAt.Add(listInterval).Sub(now)), true
	default:
		return 0, false
	}
}

// take returns the list that is due and the channel to close when it is told, false
// if the last list is still valid.
func (p *pendingStarts) take(now time.Time) (list StartList, told chan struct{}, ok bool) {
	p.checkedAt = now
	for start, pending := range p.starts {
		if !pending.listedUntil.IsZero() && !now.Before(pending.listedUntil) {
			p.answered(start)
		}
	}
	if p.told == nil && !p.changed {
		return StartList{}, nil, false
	}
	p.number++
	told, p.told, p.changed = p.told, nil, false
	return StartList{Number: p.number, Starts: p.newest()}, told, true
}

// newest returns the start requests, at most MaxListedStarts of them.
func (p *pendingStarts) newest() []ListedStart {
	starts := make([]ListedStart, 0, len(p.starts))
	for start := range p.starts {
		starts = append(starts, start)
	}
	if len(starts) <= MaxListedStarts {
		return starts
	}
	slices.SortFunc(starts, func(a, b ListedStart) int { return cmp.Compare(p.starts[b].sequence, p.starts[a].sequence) })
	return starts[:MaxListedStarts]
}

// tellStarts tells the lists of start requests until the home is closed.
func (h *Home) tellStarts() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.startAdded:
		case <-timer.C:
		}
		if wait, ok := h.tellDueStarts(); ok {
			timer.Reset(wait)
		}
	}
}

// tellDueStarts tells the list that is due, if any, and returns the time until the next
// one may be, false if that takes another start request.
func (h *Home) tellDueStarts() (time.Duration, bool) {
	h.mutex.Lock()
	now := h.config.Clock()
	if wait, expected := h.pending.next(now); !expected || wait > 0 {
		h.mutex.Unlock()
		return wait, expected
	}
	list, told, due := h.pending.take(now)
	wait, expected := h.pending.next(now)
	h.mutex.Unlock()
	if due {
		list.FencingToken = h.config.FencingToken
		h.config.Exchange.Tell(list)
	}
	if told != nil {
		close(told)
	}
	return wait, expected
}

// listStart adds a start request to the next list, and returns a channel that is closed
// when it is told, nil if there is nobody to tell. The caller holds the mutex.
func (h *Home) listStart(start ListedStart) <-chan struct{} {
	if h.config.Exchange == nil {
		return nil
	}
	told := h.pending.add(start)
	select {
	case h.startAdded <- struct{}{}:
	default:
	}
	return told
}

// unlistStart removes a start request from the lists that follow, at once if it was
// answered. The caller holds the mutex.
func (h *Home) unlistStart(start ListedStart, result rattanwork.StartResult, now time.Time) {
	switch {
	case h.config.Exchange == nil:
	case result == rattanwork.StartUnknown:
		h.pending.unanswered(start, now)
	default:
		h.pending.answered(start)
	}
}

// awaitTold waits until a start request is told, and reports whether the home is still
// open then.
func (h *Home) awaitTold(told <-chan struct{}) bool {
	if told == nil {
		return true
	}
	select {
	case <-told:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// addRemoteStarts makes a job that may have a start request under way in another zone
// go on there. The caller holds the mutex.
func (h *Home) addRemoteStarts(jobID string, now time.Time) {
	if h.config.Exchange == nil {
		return
	}
	if zone, starts := h.config.Exchange.RemoteStarts(jobID, now); len(starts) > 0 {
		h.scheduler.AddRemoteStarts(zone, starts, now)
	}
}
