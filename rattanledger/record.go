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
	// watermark is the oldest issue time that is accepted for a first
	// submission.
	watermark time.Duration
	// droppedBefore is above the issue times of all records that were dropped
	// before their retention was over; it is at most the watermark.
	droppedBefore time.Duration
	records       map[rattanjob.Nonce]*record
	// answered holds the records with a final answer in the order of their
	// answers; those before firstKept have been dropped.
	answered  []*record
	firstKept int
	// nextWithContent is the index from which records may still have content.
	nextWithContent int
	answerBytes     int64
}

// age returns the time since the epoch started, which is the epoch's clock.
func (e *epochRecords) age(now time.Time) time.Duration {
	return max(0, now.Sub(e.start))
}

// firstAnswered returns the record that was answered first, or nil.
func (e *epochRecords) firstAnswered() *record {
	if e.firstKept == len(e.answered) {
		return nil
	}
	return e.answered[e.firstKept]
}

// firstWithContent returns the first answered record that has content, or nil.
func (e *epochRecords) firstWithContent() *record {
	e.nextWithContent = max(e.nextWithContent, e.firstKept)
	for ; e.nextWithContent < len(e.answered); e.nextWithContent++ {
		if answered := e.answered[e.nextWithContent]; answered.content != nil {
			return answered
		}
	}
	return nil
}

// removeFirstAnswered removes the record that was answered first. It shortens
// answered once half of it is unused.
func (e *epochRecords) removeFirstAnswered() {
	delete(e.records, e.answered[e.firstKept].nonce)
	e.answered[e.firstKept] = nil
	e.firstKept++
	if e.firstKept < 64 || e.firstKept < len(e.answered)/2 {
		return
	}
	e.nextWithContent = max(0, e.nextWithContent-e.firstKept)
	e.answered = slices.Clone(e.answered[e.firstKept:])
	e.firstKept = 0
}

// record is the state kept for one key. It is compact, because a home keeps the
// records of 10 minutes.
type record struct {
	digest uint64
	caller unique.Handle[string]
	// issuedAt and finishedAt are times on the epoch's clock.
	issuedAt   time.Duration
	finishedAt time.Duration
	// content is nil when the answer has none or it has been dropped.
	content *answerContent
	nonce   rattanjob.Nonce
	// started is the number of started tasks.
	started   uint16
	state     compactState
	execution uint8
	reason    uint8
	// isTombstone marks a refusal without a submission; it has neither a digest
	// nor a caller.
	isTombstone bool
}

// answerContent is the part of an answer that is dropped before the record.
type answerContent struct {
	detail     string
	retryAfter rattanjson.Duration
	results    []rattanjob.Result
	size       int64
}

func (r *record) setAnswer(answer rattanjob.Answer) {
	r.state = compactState(answer.State)
	r.execution = uint8(answer.Execution)
	r.reason = uint8(answer.Reason)
	r.started = uint16(answer.Started)
	if answer.Detail == "" && answer.RetryAfter == 0 && len(answer.Results) == 0 {
		return
	}
	r.content = &answerContent{
		detail:     answer.Detail,
		retryAfter: answer.RetryAfter,
		results:    answer.Results,
		size:       int64(len(answer.Detail)),
	}
	for _, result := range answer.Results {
		r.content.size += int64(len(result.Payload)) + resultOverhead
	}
}

// answer returns the recorded answer, without the dropped content.
func (r *record) answer() rattanjob.Answer {
	answer := rattanjob.Answer{
		State:     rattanjob.State(r.state),
		Execution: rattanjob.Execution(r.execution),
		Reason:    rattanjob.Reason(r.reason),
		Started:   int(r.started),
	}
	switch {
	case r.content != nil:
		answer.Detail = r.content.detail
		answer.RetryAfter = r.content.retryAfter
		answer.Results = r.content.results
	case answer.State == rattanjob.StateComplete:
		answer.Detail = "the results are past their retention"
	}
	return answer
}

func (r *record) contentBytes() int64 {
	if r.content == nil {
		return 0
	}
	return r.content.size
}

// allowsCaller reports whether the caller may learn of the record.
func (r *record) allowsCaller(caller string) bool {
	return r.isTombstone || r.caller.Value() == caller
}

// sameAnswer reports whether the answer equals the recorded one. Once the
// results have been dropped only the other fields are compared.
func (r *record) sameAnswer(answer rattanjob.Answer) bool {
	recorded := r.answer()
	if recorded.State != answer.State || recorded.Execution != answer.Execution || recorded.Reason != answer.Reason || recorded.Started != answer.Started {
		return false
	}
	return r.content == nil || slices.EqualFunc(recorded.Results, answer.Results, func(a, b rattanjob.Result) bool {
		return bytes.Equal(a.Payload, b.Payload)
	})
}

// compactState is a rattanjob.State in one byte.
type compactState uint8

// Final reports whether the state can no longer change.
func (s compactState) Final() bool {
	return rattanjob.State(s).Final()
}

// String returns the name of the state.
func (s compactState) String() string {
	return rattanjob.State(s).String()
}
