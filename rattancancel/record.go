// Package rattancancel remembers which jobs their callers have cancelled. What an
// instance remembers outlives the job, its home and the request that cancelled it:
// instances exchange it with their heartbeats, so that a copy of the job's
// submission starts nothing wherever and whenever it arrives.
package rattancancel

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Retention is how long a cancellation is remembered. A copy of a submission
	// arrives at most a caller's wait (8 s), its resend delay (1.3 s) and the
	// longest delay of a message (12 s) after its cancellation; the state of a
	// job can be asked for during 120 s.
	Retention = 2 * time.Minute
	// maxKnownJobs and maxUnknownJobs bound the number of cancellations of jobs
	// that an instance knew, and of those that none did. They are counted apart,
	// so that a flood of the latter displaces none of the former.
	maxKnownJobs   = 32_768
	maxUnknownJobs = 8_192
	// refreshInterval is the time between two cancellations of a job from which on
	// the later one is told to other instances too.
	refreshInterval = time.Second
	// resaveInterval is the time between two cancellations of a job from which on the
	// later one is saved too.
	resaveInterval = Retention / 2
	// maxIDLength bounds the ID in a message of another instance.
	maxIDLength = 64
)

// Cancellation is a cancelled job in the form for other instances.
type Cancellation struct {
	JobID string
	// Age is the time since the job was cancelled.
	Age time.Duration
	// Known is set if some instance knew the job when it was cancelled.
	Known bool `json:",omitempty"`
}

// entry is a remembered cancellation. It is replaced, never changed but for savedAt.
type entry struct {
	jobID       string
	cancelledAt time.Time
	known       bool
	sequence    int64
	// savedAt is when this instance last saved the cancellation, zero if it has not.
	savedAt time.Time
}

// Record holds the cancellations that an instance remembers. It is safe for
// concurrent use.
type Record struct {
	// count is the number of entries. Most of the time there are none.
	count atomic.Int64

	mutex    sync.Mutex
	sequence int64
	entries  map[string]*entry
	// order contains the entries in the order of their sequence numbers, and
	// those that were replaced since.
	order []*entry
	// known and unknown count the entries of either kind.
	known, unknown int
}

// NewRecord returns an empty record. Its sequence numbers start at the current
// time, so that those of an instance's next incarnation are higher.
func NewRecord(now time.Time) *Record {
	return &Record{sequence: now.UnixMicro(), entries: map[string]*entry{}}
}

// Add remembers that a caller has cancelled a job. known states whether this
// instance knows the job. It returns false if the cancellation cannot be
// remembered, because too many jobs were cancelled that nobody knows.
func (r *Record) Add(jobID string, known bool, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	_, ok := r.put(entry{jobID: jobID, cancelledAt: now, known: known})
	return ok
}

// Contains reports whether a job was cancelled, and how long ago.
func (r *Record) Contains(jobID string, now time.Time) (age time.Duration, ok bool) {
	if r.count.Load() == 0 {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.entries[jobID]
	if !ok || e.expired(now) {
		return 0, false
	}
	return now.Sub(e.cancelledAt), true
}

// Known reports whether some instance knew a cancelled job. It returns false if the
// job was not cancelled.
func (r *Record) Known(jobID string, now time.Time) (known, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.entries[jobID]
	if !ok || e.expired(now) {
		return false, false
	}
	return e.known, true
}

// SetSaved records that this instance has saved a cancellation.
func (r *Record) SetSaved(jobID string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e, ok := r.entries[jobID]; ok {
		e.savedAt = now
	}
}

// Saved reports whether this instance has saved a cancellation so lately that it need
// not do so again.
func (r *Record) Saved(jobID string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.entries[jobID]
	return ok && !e.savedAt.IsZero() && now.Sub(e.savedAt) < resaveInterval
}

// Merge adds the cancellations that another instance remembers, and returns the
// jobs of which this one had not known that they were cancelled.
func (r *Record) Merge(cancellations []Cancellation, now time.Time) (cancelled []string) {
	if len(cancellations) == 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	for _, c := range cancellations {
		if c.JobID == "" || len(c.JobID) > maxIDLength {
			continue
		}
		e := entry{jobID: c.JobID, cancelledAt: now.Add(-max(0, c.Age)), known: c.Known}
		if e.expired(now) {
			continue
		}
		if added, _ := r.put(e); added {
			cancelled = append(cancelled, c.JobID)
		}
	}
	return cancelled
}

// Changes returns the cancellations that this instance has learned of after the
// sequence number, the oldest first and at most limit, and the sequence number up
// to which they are complete.
func (r *Record) Changes(after int64, limit int, now time.Time) (list []Cancellation, last int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sequence <= after {
		return nil, after
	}
	first, _ := slices.BinarySearchFunc(r.order, after+1, func(e *entry, sequence int64) int { return cmp.Compare(e.sequence, sequence) })
	for _, e := range r.order[first:] {
		if len(list) == limit {
			return list, e.sequence - 1
		}
		if r.entries[e.jobID] == e && !e.expired(now) {
			list = append(list, Cancellation{JobID: e.jobID, Age: now.Sub(e.cancelledAt), Known: e.known})
		}
	}
	return list, r.sequence
}

// Len returns the number of cancellations that are remembered.
func (r *Record) Len() int {
	return int(r.count.Load())
}

// put adds an entry, or replaces one that tells less. It reports whether the job
// was not remembered before, and whether it is now. The caller holds the mutex.
func (r *Record) put(e entry) (added, remembered bool) {
	earlier, ok := r.entries[e.jobID]
	if ok {
		e.known = e.known || earlier.known
		e.savedAt = earlier.savedAt
		if e.known == earlier.known && e.cancelledAt.Sub(earlier.cancelledAt) < refreshInterval {
			return false, true
		}
		if e.cancelledAt.Before(earlier.cancelledAt) {
			e.cancelledAt = earlier.cancelledAt
		}
		r.remove(earlier)
	}
	if !e.known && r.unknown >= maxUnknownJobs {
		return false, false
	}
	r.sequence++
	e.sequence = r.sequence
	r.entries[e.jobID] = &e
	r.order = append(r.order, &e)
	if e.known {
		r.known++
		r.displace()
	} else {
		r.unknown++
	}
	r.count.Store(int64(len(r.entries)))
	return !ok, true
}

// displace forgets the oldest cancellation of a known job if there are too many.
// The caller holds the mutex.
func (r *Record) displace() {
	if r.known <= maxKnownJobs {
		return
	}
	oldest := slices.IndexFunc(r.order, func(e *entry) bool { return e.known && r.entries[e.jobID] == e })
	r.remove(r.order[oldest])
}

// forget removes the entries that have expired. The caller holds the mutex.
func (r *Record) forget(now time.Time) {
	for len(r.order) > 0 {
		e := r.order[0]
		current := r.entries[e.jobID] == e
		if current && !e.expired(now) {
			return
		}
		if current {
			r.remove(e)
		}
		r.order = r.order[1:]
	}
}

// remove removes a current entry. The caller holds the mutex.
func (r *Record) remove(e *entry) {
	delete(r.entries, e.jobID)
	if e.known {
		r.known--
	} else {
		r.unknown--
	}
	r.count.Store(int64(len(r.entries)))
}

func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.cancelledAt) > Retention
}
