// Package rattanledger keeps a home's records of submissions by key. The
// record of a key is the only authority on whether the submission is new. The
// package is pure: the present time is an argument.
package rattanledger

import (
	"time"
	"unique"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Errors of Refuse and Finish.
const (
	// ErrNotFinal reports an answer that cannot be set, because its state is
	// not final or because it claims more than a refusal may.
	ErrNotFinal = errors.ConstError("not a final answer")
	// ErrAnswered reports a second answer that differs from the first.
	ErrAnswered = errors.ConstError("answered differently before")
	// ErrNoRecord reports a key that was never begun here or is past retention.
	ErrNoRecord = errors.ConstError("no record of the key")
	// ErrFenced reports a key whose epoch has ended here; the answer must not
	// be delivered.
	ErrFenced = errors.ConstError("epoch has ended")
)

// issueAllowance is how far the issue time of a key may lie ahead of the
// epoch's clock. Fronts extrapolate that clock, so they can run slightly ahead.
const issueAllowance = 5 * time.Second

// Config holds the bounds of a Ledger. All fields are required.
type Config struct {
	// KeyLifetime is the time after issue during which a key is accepted for a
	// first submission.
	KeyLifetime time.Duration
	// Retention is the time for which the record of an answered job is kept.
	Retention time.Duration
	// AnswerRetention is the time for which results are kept.
	AnswerRetention time.Duration
	MaxRecords      int
	// MaxAnswerBytes bounds the results and details of all records.
	MaxAnswerBytes int64
}

// Counters are totals since the start, except for the last four.
type Counters struct {
	Started    uint64
	Joined     uint64
	Repeated   uint64
	Conflicts  uint64
	Expired    uint64
	Fenced     uint64
	Foreign    uint64
	Full       uint64
	Finished   uint64
	Tombstones uint64
	// Violations counts second answers that differed from the first, and
	// answers to keys without a record.
	Violations     uint64
	RecordsDropped uint64
	// RecordsDroppedEarly counts records dropped before Retention because the
	// ledger was full.
	RecordsDroppedEarly uint64
	ResultsDropped      uint64
	WatermarkRaised     uint64
	RunningLost         uint64

	Records     int
	Running     int
	Epochs      int
	AnswerBytes int64
}

// Ledger holds the records of all epochs of one incarnation of a home. It is
// not safe for concurrent use. Answers that it returns have no Key.
type Ledger struct {
	config   Config
	home     rattanjob.Incarnation
	latest   uint32
	epochs   map[uint32]*epochRecords
	counters Counters
}

// New returns an empty ledger without an epoch.
func New(config Config) *Ledger {
	return &Ledger{config: config, epochs: map[uint32]*epochRecords{}}
}

// OpenEpoch accepts keys of an epoch that started at start. The first call
// names the home; epochs of other incarnations are ignored.
func (l *Ledger) OpenEpoch(_ time.Time, id rattanjob.EpochID, start time.Time) {
	if l.home.Instance == "" {
		l.home = id.Home
	}
	if id.Home != l.home || id.Number <= l.latest {
		return
	}
	l.latest = id.Number
	l.epochs[id.Number] = &epochRecords{start: start, records: map[rattanjob.Nonce]*record{}}
}

// Begin decides on a submission. With VerdictStart the job must be run by the
// receiver of the verdict; no other call for the key returns VerdictStart.
func (l *Ledger) Begin(now time.Time, key rattanjob.Key, caller string, digest uint64) (rattanjob.Answer, Verdict) {
	answer, verdict := l.begin(now, key, caller, digest)
	l.count(verdict)
	return answer, verdict
}

// Refuse makes a refusal, or a cancellation of a job that was not run, the
// final answer of the key. It needs no earlier
// Begin: without a record it leaves a tombstone, so that a submission that is
// still on its way cannot start. It returns ErrNotFinal, ErrAnswered,
// ErrNoRecord when the key may have run, or ErrFenced.
func (l *Ledger) Refuse(now time.Time, key rattanjob.Key, answer rattanjob.Answer) error {
	refusal := answer.State == rattanjob.StateRefused || answer.State == rattanjob.StateCancelled
	if !refusal || answer.Execution != rattanjob.ExecutionNotRun {
		return errors.WithType(errors.Errorf("%v, %v", answer.State, answer.Execution), ErrNotFinal)
	}
	epoch, err := l.open(key)
	if err != nil {
		return err
	}
	if epoch.records[key.Nonce] != nil {
		return l.Finish(now, key, answer)
	}
	if l.absence(now, epoch, key) != VerdictUnknown && !l.provedNotRun(now, epoch, key) {
		return errors.WithType(errors.Errorf("epoch %d", key.Epoch.Number), ErrNoRecord)
	}
	// A key without room is below the watermark, which refuses it as well.
	if !l.makeRoom(now, epoch, key) {
		return nil
	}
	l.insert(epoch, &record{nonce: key.Nonce, issuedAt: key.IssuedAt, anyBody: true})
	return l.Finish(now, key, answer)
}

// Finish sets the final answer of a job that was begun. Setting an equal answer
// again has no effect. It returns ErrNotFinal, ErrAnswered, ErrNoRecord or
// ErrFenced.
func (l *Ledger) Finish(now time.Time, key rattanjob.Key, answer rattanjob.Answer) error {
	if !answer.State.Final() {
		return errors.WithType(errors.Errorf("%v", answer.State), ErrNotFinal)
	}
	epoch, err := l.open(key)
	if err != nil {
		return err
	}
	record := epoch.records[key.Nonce]
	if record == nil {
		l.counters.Violations++
		return errors.WithType(errors.Errorf("epoch %d", key.Epoch.Number), ErrNoRecord)
	}
	if !record.state.Final() {
		l.finish(now, epoch, record, answer)
		return nil
	}
	if !record.sameAnswer(answer) {
		l.counters.Violations++
		return errors.WithType(errors.Errorf("%v after %v", answer.State, record.state), ErrAnswered)
	}
	return nil
}

// Lookup returns what is known of a key: VerdictJoin, VerdictFinal,
// VerdictUnknown, VerdictExpired, VerdictFenced or VerdictForeign.
func (l *Ledger) Lookup(now time.Time, key rattanjob.Key, caller string) (rattanjob.Answer, Verdict) {
	epoch, answer, verdict := l.find(key, caller)
	if epoch == nil {
		return answer, verdict
	}
	if record := epoch.records[key.Nonce]; record != nil {
		return l.known(record, caller)
	}
	return l.absent(now, epoch, key)
}

// FenceEpoch ends an epoch for good and frees its records: all its keys answer
// Failed/HomeLost from now on. It returns the number of jobs that were running.
func (l *Ledger) FenceEpoch(_ time.Time, id rattanjob.EpochID) int {
	epoch := l.epochs[id.Number]
	if id.Home != l.home || epoch == nil {
		return 0
	}
	delete(l.epochs, id.Number)
	running := len(epoch.records) - (len(epoch.answered) - epoch.first)
	l.counters.Records -= len(epoch.records)
	l.counters.Running -= running
	l.counters.RunningLost += uint64(running)
	l.counters.AnswerBytes -= epoch.bytes
	return running
}

// EpochEmpty reports whether the epoch has no record left, so that a draining
// epoch can be closed once its keys are past their lifetime.
func (l *Ledger) EpochEmpty(id rattanjob.EpochID) bool {
	epoch := l.epochs[id.Number]
	return id.Home != l.home || epoch == nil || len(epoch.records) == 0
}

// Sweep drops results and records that are past their retention.
func (l *Ledger) Sweep(now time.Time) {
	for _, epoch := range l.epochs {
		l.sweep(now, epoch)
	}
}

// Counters returns the present values of the counters.
func (l *Ledger) Counters() Counters {
	counters := l.counters
	counters.Epochs = len(l.epochs)
	return counters
}

func (l *Ledger) begin(now time.Time, key rattanjob.Key, caller string, digest uint64) (rattanjob.Answer, Verdict) {
	epoch, answer, verdict := l.find(key, caller)
	if epoch == nil {
		return answer, verdict
	}
	if found := epoch.records[key.Nonce]; found != nil {
		if found.digest != digest && !found.anyBody && found.sameCaller(caller) {
			return conflict(), VerdictConflict
		}
		return l.known(found, caller)
	}
	if answer, verdict := l.absent(now, epoch, key); verdict != VerdictUnknown {
		return answer, verdict
	}
	if !l.makeRoom(now, epoch, key) {
		return noRoom(), VerdictFull
	}
	l.insert(epoch, &record{
		nonce:    key.Nonce,
		digest:   digest,
		caller:   unique.Make(caller),
		issuedAt: key.IssuedAt,
	})
	return running(), VerdictStart
}

// find returns the open epoch of the key, or the answer for a key without one.
// The caller is checked first, so that no answer depends on anything else when
// the caller is not the one that the key was issued to.
func (l *Ledger) find(key rattanjob.Key, caller string) (*epochRecords, rattanjob.Answer, Verdict) {
	if key.CallerHash != rattanjob.HashCaller(caller) {
		return nil, unknown(), VerdictForeign
	}
	epoch, err := l.open(key)
	switch {
	case errors.Is(err, ErrFenced):
		return nil, rattanjob.HomeLostAnswer("the epoch of the key has ended"), VerdictFenced
	case err != nil:
		return nil, unknown(), VerdictForeign
	}
	return epoch, rattanjob.Answer{}, VerdictUnknown
}

func (l *Ledger) open(key rattanjob.Key) (*epochRecords, error) {
	id := key.Epoch
	if epoch := l.epochs[id.Number]; epoch != nil && id.Home == l.home {
		return epoch, nil
	}
	earlier := id.Home.Instance == l.home.Instance && id.Home.Number < l.home.Number
	ended := id.Home == l.home && id.Number != 0 && id.Number <= l.latest
	if earlier || ended {
		return nil, errors.WithType(errors.Errorf("epoch %d", id.Number), ErrFenced)
	}
	return nil, errors.WithType(errors.Errorf("home %q", id.Home.Instance), ErrNoRecord)
}

func (l *Ledger) known(found *record, caller string) (rattanjob.Answer, Verdict) {
	switch {
	case !found.sameCaller(caller):
		return unknown(), VerdictForeign
	case found.state.Final():
		return found.answer(), VerdictFinal
	}
	return running(), VerdictJoin
}

// absent returns the answer for a key without a record.
func (l *Ledger) absent(now time.Time, epoch *epochRecords, key rattanjob.Key) (rattanjob.Answer, Verdict) {
	verdict := l.absence(now, epoch, key)
	switch {
	case verdict == VerdictUnknown:
		return unknown(), verdict
	case l.provedNotRun(now, epoch, key) && key.IssuedAt < epoch.watermark:
		return noRoom(), verdict
	case l.provedNotRun(now, epoch, key):
		return rattanjob.RefusedAnswer(rattanjob.ReasonKeyExpired, "the key expired before it was submitted"), verdict
	}
	return rattanjob.Answer{
		State:     rattanjob.StateFailed,
		Execution: rattanjob.ExecutionMayHaveRun,
		Reason:    rattanjob.ReasonKeyExpired,
		Detail:    "the key is too old, and its record is not kept any more",
	}, verdict
}

// absence returns VerdictUnknown for a key that is accepted for a first
// submission, and VerdictExpired for any other. An expired key stays so.
func (l *Ledger) absence(now time.Time, epoch *epochRecords, key rattanjob.Key) Verdict {
	age := epoch.age(now)
	if key.IssuedAt < epoch.watermark || age >= key.IssuedAt+l.config.KeyLifetime {
		return VerdictExpired
	}
	if key.IssuedAt > age+issueAllowance {
		return VerdictExpired
	}
	return VerdictUnknown
}

// provedNotRun reports whether a key without a record that is not accepted any
// more certainly never started: had it started, its record would still be kept.
func (l *Ledger) provedNotRun(now time.Time, epoch *epochRecords, key rattanjob.Key) bool {
	age := epoch.age(now)
	refused := age >= key.IssuedAt+l.config.KeyLifetime || key.IssuedAt < epoch.watermark
	kept := age < key.IssuedAt-issueAllowance+l.config.Retention
	return refused && kept && key.IssuedAt >= epoch.dropped
}

// makeRoom makes room for the record of a key. When the ledger is full it drops
// the oldest answered records and raises the watermark over their issue times,
// so that their keys cannot start again. It returns false when the key itself
// is below the watermark then, which refuses the key for good.
func (l *Ledger) makeRoom(now time.Time, epoch *epochRecords, key rattanjob.Key) bool {
	if l.counters.Records < l.config.MaxRecords {
		return true
	}
	l.Sweep(now)
	for l.counters.Records >= l.config.MaxRecords {
		oldest := l.oldest((*epochRecords).firstAnswered)
		if oldest == nil {
			l.raise(epoch, key.IssuedAt+time.Millisecond)
			return false
		}
		oldest.dropped = max(oldest.dropped, oldest.firstAnswered().issuedAt+time.Millisecond)
		l.raise(oldest, oldest.dropped)
		l.dropRecord(oldest)
		l.counters.RecordsDroppedEarly++
	}
	return key.IssuedAt >= epoch.watermark
}

func (l *Ledger) raise(epoch *epochRecords, watermark time.Duration) {
	if watermark <= epoch.watermark {
		return
	}
	epoch.watermark = watermark
	l.counters.WatermarkRaised++
}

func (l *Ledger) insert(epoch *epochRecords, added *record) {
	added.state = smallState(rattanjob.StateRunning)
	epoch.records[added.nonce] = added
	l.counters.Records++
	l.counters.Running++
}

func (l *Ledger) finish(now time.Time, epoch *epochRecords, finished *record, answer rattanjob.Answer) {
	finished.set(answer)
	finished.finishedAt = epoch.age(now)
	epoch.answered = append(epoch.answered, finished)
	epoch.bytes += finished.bytes()
	l.counters.AnswerBytes += finished.bytes()
	l.counters.Running--
	l.counters.Finished++
	if answer.State == rattanjob.StateRefused {
		l.counters.Tombstones++
	}
	l.boundBytes()
}

// boundBytes drops the oldest results until the rest is within MaxAnswerBytes.
func (l *Ledger) boundBytes() {
	for l.counters.AnswerBytes > l.config.MaxAnswerBytes {
		oldest := l.oldest((*epochRecords).firstWithResults)
		if oldest == nil {
			return
		}
		l.dropResults(oldest)
	}
}

func (l *Ledger) sweep(now time.Time, epoch *epochRecords) {
	age := epoch.age(now)
	for first := epoch.firstWithResults(); first != nil && age >= first.finishedAt+l.config.AnswerRetention; first = epoch.firstWithResults() {
		l.dropResults(epoch)
	}
	for first := epoch.firstAnswered(); first != nil && l.droppable(age, first); first = epoch.firstAnswered() {
		l.dropRecord(epoch)
	}
}

// droppable reports whether a record is past its retention and its key can no
// longer start without the record.
func (l *Ledger) droppable(age time.Duration, answered *record) bool {
	return age >= answered.finishedAt+l.config.Retention && age >= answered.issuedAt+l.config.KeyLifetime
}

func (l *Ledger) dropResults(epoch *epochRecords) {
	first := epoch.firstWithResults()
	epoch.bytes -= first.bytes()
	l.counters.AnswerBytes -= first.bytes()
	first.body = nil
	l.counters.ResultsDropped++
}

func (l *Ledger) dropRecord(epoch *epochRecords) {
	first := epoch.firstAnswered()
	epoch.bytes -= first.bytes()
	l.counters.AnswerBytes -= first.bytes()
	epoch.removeFirst()
	l.counters.Records--
	l.counters.RecordsDropped++
}

// oldest returns the epoch whose candidate was answered first, or nil.
func (l *Ledger) oldest(candidate func(*epochRecords) *record) *epochRecords {
	var oldest *epochRecords
	var at time.Time
	for _, epoch := range l.epochs {
		first := candidate(epoch)
		if first == nil {
			continue
		}
		if answeredAt := epoch.start.Add(first.finishedAt); oldest == nil || answeredAt.Before(at) {
			oldest, at = epoch, answeredAt
		}
	}
	return oldest
}

func (l *Ledger) count(verdict Verdict) {
	switch verdict {
	case VerdictStart:
		l.counters.Started++
	case VerdictJoin:
		l.counters.Joined++
	case VerdictFinal:
		l.counters.Repeated++
	case VerdictConflict:
		l.counters.Conflicts++
	case VerdictExpired:
		l.counters.Expired++
	case VerdictFenced:
		l.counters.Fenced++
	case VerdictForeign:
		l.counters.Foreign++
	case VerdictFull:
		l.counters.Full++
	}
}

func running() rattanjob.Answer {
	return rattanjob.Answer{State: rattanjob.StateRunning}
}

func unknown() rattanjob.Answer {
	return rattanjob.UnknownAnswer(rattanjob.ReasonKeyUnknown, "no record of the key", 0)
}

func noRoom() rattanjob.Answer {
	return rattanjob.RefusedAnswer(rattanjob.ReasonOverloaded, "the home cannot keep further records")
}

func conflict() rattanjob.Answer {
	return rattanjob.UnknownAnswer(rattanjob.ReasonConflict, "the key was used with another body; nothing was started for this one", 0)
}
