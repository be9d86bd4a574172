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

// Violated invariants.
const (
	errSecondStart    = errors.ConstError("started although it was started or reported as not run")
	errLateStart      = errors.ConstError("started after the lifetime of the key")
	errFalseNotRun    = errors.ConstError("reported as not run after a start")
	errAnswerChanged  = errors.ConstError("answer changed or lost before its retention was over")
	errResultsKept    = errors.ConstError("results kept for too long")
	errWrongConflict  = errors.ConstError("wrong verdict on the body")
	errWrongFence     = errors.ConstError("wrong verdict on a fenced epoch")
	errKeyDisclosed   = errors.ConstError("another caller learned something about the key")
	errLimitsExceeded = errors.ConstError("limits exceeded")
)

func violation(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), kind)
}

// faults selects the faults that a test injects to show that a check can fail.
type faults struct {
	config          func(*Config)
	resetWatermark  bool // the watermark stays 0
	forgetDropped   bool // droppedBefore stays 0
	skipTombstone   bool // refusals leave no tombstone
	loseRecords     bool // records disappear at each sweep
	skipFence       bool // fenced epochs stay open
	skipCallerCheck bool // the caller is not checked
	skipDigestCheck bool // the body is not checked
	overwriteAnswer bool // a second answer replaces the first
}

// jobModel is the expected state of one key.
type jobModel struct {
	key        rattanjob.Key
	starts     int
	notRun     bool
	digest     uint64
	final      rattanjob.Answer
	finishedAt time.Duration
}

// modelRun drives a ledger and compares each answer with a model.
type modelRun struct {
	ledger      *Ledger
	faults      faults
	limits      Config
	elapsed     time.Duration
	fenced      map[uint32]bool
	epochStarts []time.Duration
	jobs        []*jobModel
	// mayHaveDroppedResults is set once results may have been dropped because
	// of MaxAnswerBytes.
	mayHaveDroppedResults bool
	lastSweepAt           time.Duration
}

func newModelRun(injectedFaults faults, manyRecords bool) *modelRun {
	run := &modelRun{faults: injectedFaults, limits: testConfig, fenced: map[uint32]bool{}}
	if manyRecords {
		run.limits.MaxRecords = 1_000
	}
	config := run.limits
	if injectedFaults.config != nil {
		injectedFaults.config(&config)
	}
	run.ledger = New(config)
	run.openEpoch()
	return run
}

func (r *modelRun) now() time.Time { return startTime.Add(r.elapsed) }

func (r *modelRun) openEpoch() {
	r.epochStarts = append(r.epochStarts, r.elapsed)
	r.ledger.OpenEpoch(r.now(), rattanjob.EpochID{Home: testHome, Number: uint32(len(r.epochStarts))}, r.now())
}

func (r *modelRun) age(job *jobModel) time.Duration {
	return r.elapsed - r.epochStarts[job.key.Epoch.Number-1]
}

// mayHaveDroppedRecords reports whether records may have been dropped before
// their retention was over.
func (r *modelRun) mayHaveDroppedRecords() bool { return r.ledger.Counters().WatermarkRaised > 0 }

// issueKey issues a key for the latest epoch.
func (r *modelRun) issueKey() *jobModel {
	epoch := uint32(len(r.epochStarts))
	job := &jobModel{key: testKey(epoch, len(r.jobs), r.elapsed-r.epochStarts[epoch-1])}
	r.jobs = append(r.jobs, job)
	return job
}

// begin submits the job of the key and checks the verdict.
func (r *modelRun) begin(job *jobModel, digest uint64) error {
	passedDigest := digest
	if r.faults.skipDigestCheck && job.starts > 0 {
		passedDigest = job.digest
	}
	answer, verdict := r.ledger.Begin(r.now(), job.key, "counter", passedDigest)
	if err := r.checkAnswer(job, answer, verdict); err != nil {
		return err
	}
	recordKept := job.starts > 0 && !r.mayHaveDroppedRecords() && !r.fenced[job.key.Epoch.Number] && r.recordKept(job)
	switch {
	case recordKept && digest != job.digest && verdict != VerdictConflict:
		return violation(errWrongConflict, "%v for another body", verdict)
	case verdict == VerdictConflict && digest == job.digest:
		return violation(errWrongConflict, "conflict for the same body")
	case verdict != VerdictStart:
		return nil
	case job.starts > 0 || job.notRun:
		return violation(errSecondStart, "%d starts, not run %v", job.starts, job.notRun)
	case r.age(job)-job.key.IssuedAt >= r.limits.KeyLifetime:
		return violation(errLateStart, "age of the key %v", r.age(job)-job.key.IssuedAt)
	}
	job.starts++
	job.digest = digest
	return nil
}

// recordKept reports whether the retention of the record is not over yet.
func (r *modelRun) recordKept(job *jobModel) bool {
	return !job.final.State.Final() || r.age(job) < job.finishedAt+r.limits.Retention
}

// checkAnswer checks what holds for the answer of any call.
func (r *modelRun) checkAnswer(job *jobModel, answer rattanjob.Answer, verdict Verdict) error {
	lost := answer.State == rattanjob.StateFailed && answer.Reason == rattanjob.ReasonHomeLost
	if r.fenced[job.key.Epoch.Number] != lost || lost != (verdict == VerdictFenced) {
		return violation(errWrongFence, "%v, %v: fenced %v", verdict, answer.State, r.fenced[job.key.Epoch.Number])
	}
	if answer.Execution == rattanjob.ExecutionNotRun {
		if job.starts > 0 && job.final.State != rattanjob.StateRefused {
			return violation(errFalseNotRun, "%v", verdict)
		}
		job.notRun = true
	}
	final := job.final.State.Final()
	if len(answer.Results) > 0 && r.resultsSwept(job) {
		return violation(errResultsKept, "%v", verdict)
	}
	if lost || verdict == VerdictConflict || r.mayHaveDroppedRecords() {
		return nil
	}
	switch {
	case final && r.recordKept(job) && answer.State != job.final.State:
		return violation(errAnswerChanged, "%v in place of %v", answer.State, job.final.State)
	case final && !r.mayHaveDroppedResults && r.age(job) < job.finishedAt+r.limits.AnswerRetention && len(answer.Results) != len(job.final.Results):
		return violation(errAnswerChanged, "results dropped early")
	case len(answer.Results) > 0 && string(answer.Results[0].Payload) != string(job.final.Results[0].Payload):
		return violation(errAnswerChanged, "results of another answer")
	case job.starts > 0 && !final && verdict != VerdictJoin && verdict != VerdictStart:
		return violation(errAnswerChanged, "%v for a running job", verdict)
	}
	return nil
}

// resultsSwept reports whether the latest sweep must have dropped the results.
func (r *modelRun) resultsSwept(job *jobModel) bool {
	return r.epochStarts[job.key.Epoch.Number-1]+job.finishedAt+r.limits.AnswerRetention <= r.lastSweepAt
}

// sweep lets time pass and sweeps the ledger.
func (r *modelRun) sweep(elapsed time.Duration) {
	r.elapsed += elapsed
	r.lastSweepAt = r.elapsed
	r.ledger.Sweep(r.now())
	for _, epoch := range r.ledger.epochs {
		if r.faults.loseRecords {
			clear(epoch.records)
		}
	}
}

// finish stores an answer and checks the result.
func (r *modelRun) finish(job *jobModel, answer rattanjob.Answer) error {
	if r.faults.overwriteAnswer {
		if record := r.ledger.epochs[job.key.Epoch.Number].records[job.key.Nonce]; record != nil {
			record.setAnswer(answer)
		}
	}
	err := r.ledger.Finish(r.now(), job.key, answer)
	recordKept := job.starts > 0 && r.recordKept(job) && !r.mayHaveDroppedRecords() && !r.fenced[job.key.Epoch.Number]
	second := job.final.State.Final()
	differs := second && (job.final.State != answer.State || string(job.final.Results[0].Payload) != string(answer.Results[0].Payload))
	resultsKept := !r.mayHaveDroppedResults && r.age(job) < job.finishedAt+r.limits.AnswerRetention
	switch {
	case recordKept && differs && resultsKept && !errors.Is(err, ErrAnswered):
		return violation(errAnswerChanged, "second answer: %v", err)
	case recordKept && !second && err != nil:
		return violation(errAnswerChanged, "first answer: %v", err)
	}
	r.mayHaveDroppedResults = r.mayHaveDroppedResults || r.ledger.Counters().AnswerBytes > r.limits.MaxAnswerBytes-100
	if err == nil && !second {
		job.final, job.finishedAt = answer, r.age(job)
	}
	return nil
}

// refuse stores a refusal and checks the result.
func (r *modelRun) refuse(job *jobModel) error {
	refusal := rattanjob.RefusedAnswer(rattanjob.ReasonCancelled, "")
	if r.faults.skipTombstone {
		job.notRun = true
		return nil
	}
	if r.ledger.Refuse(r.now(), job.key, refusal) != nil {
		return nil
	}
	if job.starts > 0 && job.final.State.Final() && job.final.State != rattanjob.StateRefused {
		return violation(errFalseNotRun, "refused after %v", job.final.State)
	}
	job.notRun = true
	if !job.final.State.Final() {
		job.final, job.finishedAt = refusal, r.age(job)
	}
	return nil
}

func (r *modelRun) lookup(job *jobModel) error {
	answer, verdict := r.ledger.Lookup(r.now(), job.key, "counter")
	return r.checkAnswer(job, answer, verdict)
}

// checkOtherCaller calls the ledger as another caller, who must learn nothing.
func (r *modelRun) checkOtherCaller(job *jobModel) error {
	caller := "other"
	if r.faults.skipCallerCheck {
		caller = "counter"
	}
	lookupAnswer, _ := r.ledger.Lookup(r.now(), job.key, caller)
	beginAnswer, _ := r.ledger.Begin(r.now(), job.key, caller, 99)
	want := fmt.Sprintf("%+v", unknownKeyAnswer())
	if got := fmt.Sprintf("%+v", lookupAnswer); got != want {
		return violation(errKeyDisclosed, "lookup: %s", got)
	}
	if got := fmt.Sprintf("%+v", beginAnswer); got != want {
		return violation(errKeyDisclosed, "submission: %s", got)
	}
	return nil
}

func (r *modelRun) fenceEpoch(epoch uint32) {
	r.fenced[epoch] = true
	if !r.faults.skipFence {
		r.ledger.FenceEpoch(r.now(), rattanjob.EpochID{Home: testHome, Number: epoch})
	}
	if int(epoch) == len(r.epochStarts) {
		r.openEpoch()
	}
}

// checkLimits checks the limits of the ledger and injects the faults that reset
// a part of its state.
func (r *modelRun) checkLimits() error {
	for _, epoch := range r.ledger.epochs {
		if r.faults.resetWatermark {
			epoch.watermark = 0
		}
		if r.faults.forgetDropped {
			epoch.droppedBefore = 0
		}
	}
	counters := r.ledger.Counters()
	if counters.Records > r.limits.MaxRecords || counters.AnswerBytes > r.limits.MaxAnswerBytes {
		return violation(errLimitsExceeded, "%d records, %d bytes", counters.Records, counters.AnswerBytes)
	}
	return nil
}

// chooseFunc returns a random number in [0, n); the label names the choice.
type chooseFunc func(label string, n int) int

// runRandomCalls makes a random number of random calls and returns the first
// violation.
func runRandomCalls(choose chooseFunc, injectedFaults faults) error {
	run := newModelRun(injectedFaults, choose("many records", 2) == 0)
	rate := 1 + choose("rate", 4)
	for range 20 + choose("steps", 150) {
		if err := run.randomCall(choose, rate); err != nil {
			return err
		}
		if err := run.checkLimits(); err != nil {
			return err
		}
	}
	return nil
}

func (r *modelRun) randomCall(choose chooseFunc, rate int) error {
	if choose("new", 8) < rate || len(r.jobs) == 0 {
		job := r.issueKey()
		if choose("issue only", 3) == 0 {
			return nil
		}
		return r.begin(job, 1)
	}
	job := r.jobs[len(r.jobs)-1-choose("job", min(len(r.jobs), 40))]
	switch choose("action", 12) {
	case 0, 1:
		return r.begin(job, 1)
	case 2:
		return r.begin(job, 1+uint64(choose("digest", 2)))
	case 3, 4, 5:
		if job.starts > 0 {
			return r.finish(job, completeAnswer(fmt.Sprint(job.key.Nonce[0], r.elapsed, strings.Repeat("x", choose("size", 50)))))
		}
	case 6:
		return r.refuse(job)
	case 7:
		return r.lookup(job)
	case 8:
		return r.checkOtherCaller(job)
	case 9:
		r.sweep(time.Duration(choose("seconds", 90)) * time.Second)
	case 10:
		r.sweep(time.Duration(choose("minutes", 12)) * time.Minute)
	case 11:
		switch choose("epoch", 12) {
		case 0:
			r.fenceEpoch(uint32(1 + choose("fenced", len(r.epochStarts))))
		case 1:
			r.openEpoch()
		}
	}
	return nil
}

// TestRandomCalls guards against a second start of a key, a job falsely
// reported as not run, an answer that changes, is lost before its retention is
// over or reaches another caller, an answer under a fenced epoch, and records
// beyond the limits.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		if err := runRandomCalls(choose, faults{}); err != nil {
			rt.Fatalf("%+v", err)
		}
	})
	for seed := range uint64(2_000) {
		qt.Assert(t, runRandomCalls(uniformChoice(seed), faults{}), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

func uniformChoice(seed uint64) chooseFunc {
	random := rand.New(rand.NewPCG(seed, 3))
	return func(_ string, n int) int { return random.IntN(n) }
}

// TestInjectedFaults guards against checks of TestRandomCalls that cannot fail.
func TestInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		want   error
	}{
		{"longer key lifetime", faults{config: func(c *Config) { c.KeyLifetime = time.Hour }}, errLateStart},
		{"shorter retention", faults{config: func(c *Config) { c.Retention = time.Second }}, errAnswerChanged},
		{"results kept longer", faults{config: func(c *Config) { c.AnswerRetention = time.Hour }}, errResultsKept},
		{"results dropped earlier", faults{config: func(c *Config) { c.AnswerRetention = time.Second }}, errAnswerChanged},
		{"more answer bytes", faults{config: func(c *Config) { c.MaxAnswerBytes = 1 << 20 }}, errLimitsExceeded},
		{"more records", faults{config: func(c *Config) { c.MaxRecords++ }}, errLimitsExceeded},
		{"watermark reset", faults{resetWatermark: true}, errSecondStart},
		{"dropped records forgotten", faults{forgetDropped: true}, errFalseNotRun},
		{"no tombstone", faults{skipTombstone: true}, errSecondStart},
		{"records lost", faults{loseRecords: true}, errFalseNotRun},
		{"epoch not fenced", faults{skipFence: true}, errWrongFence},
		{"caller not checked", faults{skipCallerCheck: true}, errKeyDisclosed},
		{"digest not checked", faults{skipDigestCheck: true}, errWrongConflict},
		{"answer overwritten", faults{overwriteAnswer: true}, errAnswerChanged},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 1_000 && !found; seed++ {
				found = errors.Is(runRandomCalls(uniformChoice(seed), test.faults), test.want)
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}
