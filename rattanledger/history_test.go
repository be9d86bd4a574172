package rattanledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Invariants that a history reports as violated.
const (
	errSecondStart = errors.ConstError("started although it was started or reported as not run")
	errLateStart   = errors.ConstError("started after the lifetime of the key")
	errFalseNotRun = errors.ConstError("reported as not run after a start")
	errChanged     = errors.ConstError("answer changed or lost before its retention")
	errKept        = errors.ConstError("results kept for too long")
	errConflict    = errors.ConstError("wrong verdict on the body")
	errFence       = errors.ConstError("wrong verdict on a fenced epoch")
	errRevealed    = errors.ConstError("another caller learned of the key")
	errBounds      = errors.ConstError("bounds exceeded")
)

func violation(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), kind)
}

// faults are errors that a test injects to show that a check can fail.
type faults struct {
	config      func(*Config)
	noWatermark bool // the watermark is not raised
	noDropped   bool // records dropped early are not remembered
	noTombstone bool // refusals are not kept
	loseRecords bool // records disappear at each sweep
	noFence     bool // fenced epochs go on
	anyCaller   bool // the caller is not checked
	anyDigest   bool // the body is not checked
	overwrite   bool // a second answer replaces the first
}

// job is what the model knows of one key.
type job struct {
	key        rattanjob.Key
	starts     int
	notRun     bool
	digest     uint64
	final      rattanjob.Answer
	finishedAt time.Duration
}

// history drives a ledger and compares each answer with a model.
type history struct {
	ledger *Ledger
	faults faults
	bounds Config
	now    time.Duration
	fenced map[uint32]bool
	epochs []time.Duration
	jobs   []*job
	// crowded is set once results may have been dropped for lack of bytes.
	crowded bool
	sweptAt time.Duration
}

func newHistory(injected faults, roomy bool) *history {
	h := &history{faults: injected, bounds: bounds, fenced: map[uint32]bool{}}
	if roomy {
		h.bounds.MaxRecords = 1_000
	}
	config := h.bounds
	if injected.config != nil {
		injected.config(&config)
	}
	h.ledger = New(config)
	h.open()
	return h
}

func (h *history) at() time.Time { return origin.Add(h.now) }

func (h *history) open() {
	h.epochs = append(h.epochs, h.now)
	h.ledger.OpenEpoch(h.at(), rattanjob.EpochID{Home: home, Number: uint32(len(h.epochs))}, h.at())
}

func (h *history) age(j *job) time.Duration { return h.now - h.epochs[j.key.Epoch.Number-1] }

// full reports whether records may have been dropped before their time.
func (h *history) full() bool { return h.ledger.Counters().WatermarkRaised > 0 }

func (h *history) issue() *job {
	epoch := uint32(len(h.epochs))
	j := &job{key: testKey(epoch, len(h.jobs), h.now-h.epochs[epoch-1])}
	h.jobs = append(h.jobs, j)
	return j
}

// begin submits the job of the key and checks the verdict.
func (h *history) begin(j *job, digest uint64) error {
	given := digest
	if h.faults.anyDigest && j.starts > 0 {
		given = j.digest
	}
	answer, verdict := h.ledger.Begin(h.at(), j.key, "counter", given)
	if err := h.answered(j, answer, verdict); err != nil {
		return err
	}
	kept := j.starts > 0 && !h.full() && !h.fenced[j.key.Epoch.Number] && h.kept(j)
	switch {
	case kept && digest != j.digest && verdict != VerdictConflict:
		return violation(errConflict, "%v for another body", verdict)
	case verdict == VerdictConflict && digest == j.digest:
		return violation(errConflict, "conflict for the same body")
	case verdict != VerdictStart:
		return nil
	case j.starts > 0 || j.notRun:
		return violation(errSecondStart, "%d starts, not run %v", j.starts, j.notRun)
	case h.age(j)-j.key.IssuedAt >= h.bounds.KeyLifetime:
		return violation(errLateStart, "age of the key %v", h.age(j)-j.key.IssuedAt)
	}
	j.starts++
	j.digest = digest
	return nil
}

func (h *history) kept(j *job) bool {
	return !j.final.State.Final() || h.age(j) < j.finishedAt+h.bounds.Retention
}

// answered checks what any call may say of the job.
func (h *history) answered(j *job, answer rattanjob.Answer, verdict Verdict) error {
	lost := answer.State == rattanjob.StateFailed && answer.Reason == rattanjob.ReasonHomeLost
	if h.fenced[j.key.Epoch.Number] != lost || lost != (verdict == VerdictFenced) {
		return violation(errFence, "%v, %v: fenced %v", verdict, answer.State, h.fenced[j.key.Epoch.Number])
	}
	if answer.Execution == rattanjob.ExecutionNotRun {
		if j.starts > 0 && j.final.State != rattanjob.StateRefused {
			return violation(errFalseNotRun, "%v", verdict)
		}
		j.notRun = true
	}
	final := j.final.State.Final()
	if len(answer.Results) > 0 && h.swept(j) {
		return violation(errKept, "%v", verdict)
	}
	if lost || verdict == VerdictConflict || h.full() {
		return nil
	}
	switch {
	case final && h.kept(j) && answer.State != j.final.State:
		return violation(errChanged, "%v in place of %v", answer.State, j.final.State)
	case final && !h.crowded && h.age(j) < j.finishedAt+h.bounds.AnswerRetention && len(answer.Results) != len(j.final.Results):
		return violation(errChanged, "results dropped early")
	case len(answer.Results) > 0 && string(answer.Results[0].Payload) != string(j.final.Results[0].Payload):
		return violation(errChanged, "results of another answer")
	case j.starts > 0 && !final && verdict != VerdictJoin && verdict != VerdictStart:
		return violation(errChanged, "%v for a running job", verdict)
	}
	return nil
}

// swept reports whether the results must be dropped by the latest sweep.
func (h *history) swept(j *job) bool {
	return h.epochs[j.key.Epoch.Number-1]+j.finishedAt+h.bounds.AnswerRetention <= h.sweptAt
}

func (h *history) sweep(elapsed time.Duration) {
	h.now += elapsed
	h.sweptAt = h.now
	h.ledger.Sweep(h.at())
	for _, epoch := range h.ledger.epochs {
		if h.faults.loseRecords {
			clear(epoch.records)
		}
	}
}

func (h *history) finish(j *job, answer rattanjob.Answer) error {
	if h.faults.overwrite {
		if record := h.ledger.epochs[j.key.Epoch.Number].records[j.key.Nonce]; record != nil {
			record.set(answer)
		}
	}
	err := h.ledger.Finish(h.at(), j.key, answer)
	known := j.starts > 0 && h.kept(j) && !h.full() && !h.fenced[j.key.Epoch.Number]
	second := j.final.State.Final()
	differs := second && (j.final.State != answer.State || string(j.final.Results[0].Payload) != string(answer.Results[0].Payload))
	resultsKept := !h.crowded && h.age(j) < j.finishedAt+h.bounds.AnswerRetention
	switch {
	case known && differs && resultsKept && !errors.Is(err, ErrAnswered):
		return violation(errChanged, "second answer: %v", err)
	case known && !second && err != nil:
		return violation(errChanged, "first answer: %v", err)
	}
	h.crowded = h.crowded || h.ledger.Counters().AnswerBytes > h.bounds.MaxAnswerBytes-100
	if err == nil && !second {
		j.final, j.finishedAt = answer, h.age(j)
	}
	return nil
}

func (h *history) refuse(j *job) error {
	refusal := rattanjob.RefusedAnswer(rattanjob.ReasonCancelled, "")
	if h.faults.noTombstone {
		j.notRun = true
		return nil
	}
	if h.ledger.Refuse(h.at(), j.key, refusal) != nil {
		return nil
	}
	if j.starts > 0 && j.final.State.Final() && j.final.State != rattanjob.StateRefused {
		return violation(errFalseNotRun, "refused after %v", j.final.State)
	}
	j.notRun = true
	if !j.final.State.Final() {
		j.final, j.finishedAt = refusal, h.age(j)
	}
	return nil
}

func (h *history) lookup(j *job) error {
	answer, verdict := h.ledger.Lookup(h.at(), j.key, "counter")
	return h.answered(j, answer, verdict)
}

// foreign asks as another caller, who must learn nothing.
func (h *history) foreign(j *job) error {
	caller := "other"
	if h.faults.anyCaller {
		caller = "counter"
	}
	looked, _ := h.ledger.Lookup(h.at(), j.key, caller)
	begun, _ := h.ledger.Begin(h.at(), j.key, caller, 99)
	want := fmt.Sprintf("%+v", unknown())
	if got := fmt.Sprintf("%+v", looked); got != want {
		return violation(errRevealed, "look-up: %s", got)
	}
	if got := fmt.Sprintf("%+v", begun); got != want {
		return violation(errRevealed, "submission: %s", got)
	}
	return nil
}

func (h *history) fence(epoch uint32) {
	h.fenced[epoch] = true
	if !h.faults.noFence {
		h.ledger.FenceEpoch(h.at(), rattanjob.EpochID{Home: home, Number: epoch})
	}
	if int(epoch) == len(h.epochs) {
		h.open()
	}
}

func (h *history) bounded() error {
	for _, epoch := range h.ledger.epochs {
		if h.faults.noWatermark {
			epoch.watermark = 0
		}
		if h.faults.noDropped {
			epoch.dropped = 0
		}
	}
	counters := h.ledger.Counters()
	if counters.Records > h.bounds.MaxRecords || counters.AnswerBytes > h.bounds.MaxAnswerBytes {
		return violation(errBounds, "%d records, %d bytes", counters.Records, counters.AnswerBytes)
	}
	return nil
}

type chooser func(label string, n int) int

func run(choose chooser, injected faults) error {
	h := newHistory(injected, choose("roomy", 2) == 0)
	rate := 1 + choose("rate", 4)
	for range 20 + choose("steps", 150) {
		if err := h.act(choose, rate); err != nil {
			return err
		}
		if err := h.bounded(); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) act(choose chooser, rate int) error {
	if choose("new", 8) < rate || len(h.jobs) == 0 {
		j := h.issue()
		if choose("held", 3) == 0 {
			return nil
		}
		return h.begin(j, 1)
	}
	j := h.jobs[len(h.jobs)-1-choose("job", min(len(h.jobs), 40))]
	switch choose("action", 12) {
	case 0, 1:
		return h.begin(j, 1)
	case 2:
		return h.begin(j, 1+uint64(choose("digest", 2)))
	case 3, 4, 5:
		if j.starts > 0 {
			return h.finish(j, complete(fmt.Sprint(j.key.Nonce[0], h.now, strings.Repeat("x", choose("size", 50)))))
		}
	case 6:
		return h.refuse(j)
	case 7:
		return h.lookup(j)
	case 8:
		return h.foreign(j)
	case 9:
		h.sweep(time.Duration(choose("seconds", 90)) * time.Second)
	case 10:
		h.sweep(time.Duration(choose("minutes", 12)) * time.Minute)
	case 11:
		switch choose("epoch", 12) {
		case 0:
			h.fence(uint32(1 + choose("fenced", len(h.epochs))))
		case 1:
			h.open()
		}
	}
	return nil
}

// TestHistories guards against a second start of a key, a false "not run", an
// answer that changes, is lost before its retention or reaches another caller,
// an answer under a fenced epoch, and records beyond the h.bounds.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		if err := run(choose, faults{}); err != nil {
			rt.Fatalf("%+v", err)
		}
	})
	for seed := range uint64(2_000) {
		qt.Assert(t, run(uniform(seed), faults{}), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

func uniform(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 3))
	return func(_ string, n int) int { return random.IntN(n) }
}

// TestInjectedFaults guards against checks of TestHistories that cannot fail.
func TestInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		want   error
	}{
		{"key lifetime", faults{config: func(c *Config) { c.KeyLifetime = time.Hour }}, errLateStart},
		{"retention", faults{config: func(c *Config) { c.Retention = time.Second }}, errChanged},
		{"late results", faults{config: func(c *Config) { c.AnswerRetention = time.Hour }}, errKept},
		{"early results", faults{config: func(c *Config) { c.AnswerRetention = time.Second }}, errChanged},
		{"answer bytes", faults{config: func(c *Config) { c.MaxAnswerBytes = 1 << 20 }}, errBounds},
		{"records", faults{config: func(c *Config) { c.MaxRecords++ }}, errBounds},
		{"watermark", faults{noWatermark: true}, errSecondStart},
		{"dropped early", faults{noDropped: true}, errFalseNotRun},
		{"tombstone", faults{noTombstone: true}, errSecondStart},
		{"not run", faults{loseRecords: true}, errFalseNotRun},
		{"fence", faults{noFence: true}, errFence},
		{"caller", faults{anyCaller: true}, errRevealed},
		{"digest", faults{anyDigest: true}, errConflict},
		{"second answer", faults{overwrite: true}, errChanged},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 1_000 && !found; seed++ {
				found = errors.Is(run(uniform(seed), test.faults), test.want)
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}
