package rattanledger

import (
	"bytes"
	"slices"
	"time"
	"unique"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// resultOverhead is the size of the slice header that a result needs in
// addition to its payload.
const resultOverhead = 24

// epochRecords holds the records of one open epoch.
type epochRecords struct {
	start time.Time
	// watermark is the oldest issue time that is acceptable for a first
	// submission.
	watermark time.Duration
	// dropped is above the issue times of all records that were dropped before
	// their retention; it is at most the watermark.
	dropped time.Duration
	records map[rattanjob.Nonce]*record
	// answered holds the records with a final answer in the order in which
	// they were answered; those before first are dropped.
	answered []*record
	first    int
	// withResults is the index from which records may have a body.
	withResults int
	bytes       int64
}

// age is the epoch's clock: the time since the epoch started.
func (e *epochRecords) age(now time.Time) time.Duration {
	return max(0, now.Sub(e.start))
}

func (e *epochRecords) firstAnswered() *record {
	if e.first == len(e.answered) {
		return nil
	}
	return e.answered[e.first]
}

func (e *epochRecords) firstWithResults() *record {
	e.withResults = max(e.withResults, e.first)
	for ; e.withResults < len(e.answered); e.withResults++ {
		if found := e.answered[e.withResults]; found.body != nil {
			return found
		}
	}
	return nil
}

func (e *epochRecords) removeFirst() {
	delete(e.records, e.answered[e.first].nonce)
	e.answered[e.first] = nil
	e.first++
	if e.first < 64 || e.first < len(e.answered)/2 {
		return
	}
	e.withResults = max(0, e.withResults-e.first)
	e.answered = slices.Clone(e.answered[e.first:])
	e.first = 0
}

// record is what is kept of one key. It is compact, because a home keeps the
// records of 10 minutes.
type record struct {
	digest uint64
	caller unique.Handle[string]
	// issuedAt and finishedAt are measured on the epoch's clock.
	issuedAt   time.Duration
	finishedAt time.Duration
	// body is nil when the answer has none or it was dropped.
	body      *body
	nonce     rattanjob.Nonce
	started   uint16
	state     smallState
	execution uint8
	reason    uint8
	// anyBody marks a tombstone that was left without a submission; it has
	// neither a digest nor a caller.
	anyBody bool
}

// body is the part of an answer that is dropped first.
type body struct {
	detail     string
	retryAfter rattanjson.Duration
	results    []rattanjob.Result
	size       int64
}

func (r *record) set(answer rattanjob.Answer) {
	r.state = smallState(answer.State)
	r.execution = uint8(answer.Execution)
	r.reason = uint8(answer.Reason)
	r.started = uint16(answer.Started)
	if answer.Detail == "" && answer.RetryAfter == 0 && len(answer.Results) == 0 {
		return
	}
	r.body = &body{
		detail:     answer.Detail,
		retryAfter: answer.RetryAfter,
		results:    answer.Results,
		size:       int64(len(answer.Detail)),
	}
	for _, result := range answer.Results {
		r.body.size += int64(len(result.Payload)) + resultOverhead
	}
}

func (r *record) answer() rattanjob.Answer {
	answer := rattanjob.Answer{
		State:     rattanjob.State(r.state),
		Execution: rattanjob.Execution(r.execution),
		Reason:    rattanjob.Reason(r.reason),
		Started:   int(r.started),
	}
	switch {
	case r.body != nil:
		answer.Detail = r.body.detail
		answer.RetryAfter = r.body.retryAfter
		answer.Results = r.body.results
	case answer.State == rattanjob.StateComplete:
		answer.Detail = "the results are past their retention"
	}
	return answer
}

func (r *record) bytes() int64 {
	if r.body == nil {
		return 0
	}
	return r.body.size
}

func (r *record) sameCaller(caller string) bool {
	return r.anyBody || r.caller.Value() == caller
}

// sameAnswer reports whether the answer equals the record's. Once results are
// dropped only the rest can be compared.
func (r *record) sameAnswer(answer rattanjob.Answer) bool {
	known := r.answer()
	if known.State != answer.State || known.Execution != answer.Execution || known.Reason != answer.Reason || known.Started != answer.Started {
		return false
	}
	return r.body == nil || slices.EqualFunc(known.Results, answer.Results, func(a, b rattanjob.Result) bool {
		return bytes.Equal(a.Payload, b.Payload)
	})
}

// smallState is a rattanjob.State in one byte.
type smallState uint8

// Final reports whether the state can no longer change.
func (s smallState) Final() bool {
	return rattanjob.State(s).Final()
}

// String returns the name of the state.
func (s smallState) String() string {
	return rattanjob.State(s).String()
}
