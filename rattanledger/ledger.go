// Package rattanledger keeps a home's records of submissions by key. The record
// of a key is the only authority on whether a submission is new. The package
// reads no clock: the current time is an argument.
package rattanledger

import (
	"time"
	"unique"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Errors returned by Refuse and Finish.
const (
	// ErrNotFinal is returned for an answer that cannot be stored, because its
	// state is not final or because it claims more than a refusal may.
	ErrNotFinal = errors.ConstError("not a final answer")
	// ErrAnswered is returned for a second answer that differs from the first.
	ErrAnswered = errors.ConstError("answered differently before")
	// ErrNoRecord is returned for a key for which Begin was never called here,
	// or whose retention is over.
	ErrNoRecord = errors.ConstError("no record of the key")
	// ErrFenced is returned for a key whose epoch has ended here; the answer
	// must not be delivered.
	ErrFenced = errors.ConstError("epoch has ended")
)

// maxIssueSkew is how far the issue time of a key may be ahead of the epoch's
// clock. Front ends extrapolate that clock and can run slightly ahead.
const maxIssueSkew = 5 * time.Second

// Config holds the limits of a Ledger. All fields are required.
type Config struct {
	// KeyLifetime is the time after issue during which a key is accepted for a
	// first submission.
	KeyLifetime time.Duration
	// Retention is the time for which the record of an answered job is kept.
	Retention time.Duration
	// AnswerRetention is the time for which results are kept.
	AnswerRetention time.Duration
	// MaxRecords limits the records of all epochs together.
	MaxRecords int
	// MaxAnswerBytes limits the results and details of all records together.
	MaxAnswerBytes int64
}

// Counters are totals since the start, except for the last four, which are
// current values.
type Counters struct {
	Started   uint64
	Joined    uint64
	Repeated  uint64
	Conflicts uint64
	Expired   uint64
	Fenced    uint64
	Foreign   uint64
	Full      uint64
	Finished  uint64
	// Tombstones counts refusals that were stored, with or without a
	// submission.
	Tombstones uint64
	// Violations counts second answers that differed from the first, and
	// answers to keys without a record.
	Violations     uint64
	RecordsDropped uint64
	// RecordsDroppedEarly counts records dropped before Retention because the
	// ledger was full.
	RecordsDroppedEarly uint64
	ResultsDropped      uint64
	// WatermarkRaised counts how often the watermark of an epoch was raised
	// because the ledger was full.
	WatermarkRaised uint64
	// RunningLost counts jobs that were running when their epoch was fenced.
	RunningLost uint64

	Records     int
	Running     int
	Epochs      int
	AnswerBytes int64
}

// Ledger holds the records of all epochs of one incarnation of a home. It is
// not safe for concurrent use. The Key of the answers that it returns is not
// set.
type Ledger struct {
	config      Config
	home        rattanjob.Incarnation
	latestEpoch uint32
	epochs      map[uint32]*epochRecords
	counters    Counters
}

// New returns an empty ledger without an epoch.
func New(config Config) *Ledger {
	return &Ledger{config: config, epochs: map[uint32]*epochRecords{}}
}

// OpenEpoch accepts keys of an epoch that started at start. The first call
// determines the home; epochs of other incarnations are ignored.
func (l *Ledger) OpenEpoch(_ time.Time, id rattanjob.EpochID, start time.Time) {
	if l.home.Instance == "" {
		l.home = id.Home
	}
	if id.Home != l.home || id.Number <= l.latestEpoch {
		return
	}
	l.latestEpoch = id.Number
	l.epochs[id.Number] = &epochRecords{start: start, records: map[rattanjob.Nonce]*record{}}
}

// Begin decides on a submission. If it returns VerdictStart, the caller must
// run the job; no other call for the key returns VerdictStart.
func (l *Ledger) Begin(now time.Time, key rattanjob.Key, caller string, digest uint64) (rattanjob.Answer, Verdict) {
	answer, verdict := l.begin(now, key, caller, digest)
	l.countVerdict(verdict)
	return answer, verdict
}

// Refuse stores a refusal, or a cancellation of a job that was not run, as the
// final answer of the key. Begin need not have been called: without a record
// Refuse leaves a tombstone, so that a submission still in transit cannot
// start. It returns ErrNotFinal, ErrAnswered, ErrNoRecord when the key may have
// run, or ErrFenced.
func (l *Ledger) Refuse(now time.Time, key rattanjob.Key, answer rattanjob.Answer) error {
	refusal := answer.State == rattanjob.StateRefused || answer.State == rattanjob.StateCancelled
	if !refusal || answer.Execution != rattanjob.ExecutionNotRun {
		return errors.WithType(errors.Errorf("%v, %v", answer.State, answer.Execution), ErrNotFinal)
	}
	epoch, err := l.findEpoch(key)
	if err != nil {
		return err
	}
	if epoch.records[key.Nonce] != nil {
		return l.Finish(now, key, answer)
	}
	if l.verdictWithoutRecord(now, epoch, key) != VerdictUnknown && !l.certainlyNotRun(now, epoch, key) {
		return errors.WithType(errors.Errorf("epoch %d", key.Epoch.Number), ErrNoRecord)
	}
	// A key for which there is no room is below the watermark and refused
	// anyway.
	if !l.makeRoom(now, epoch, key) {
		return nil
	}
	l.insertRunning(epoch, &record{nonce: key.Nonce, issuedAt: key.IssuedAt, isTombstone: true})
	return l.Finish(now, key, answer)
}

// Finish stores the final answer of a job that Begin has started. Storing an
// equal answer again has no effect. It returns ErrNotFinal, ErrAnswered,
// ErrNoRecord or ErrFenced.
func (l *Ledger) Finish(now time.Time, key rattanjob.Key, answer rattanjob.Answer) error {
	if !answer.State.Final() {
		return errors.WithType(errors.Errorf("%v", answer.State), ErrNotFinal)
	}
	epoch, err := l.findEpoch(key)
	if err != nil {
		return err
	}
	record := epoch.records[key.Nonce]
	if record == nil {
		l.counters.Violations++
		return errors.WithType(errors.Errorf("epoch %d", key.Epoch.Number), ErrNoRecord)
	}
	if !record.state.Final() {
		l.storeAnswer(now, epoch, record, answer)
		return nil
	}
	if !record.sameAnswer(answer) {
		l.counters.Violations++
		return errors.WithType(errors.Errorf("%v after %v", answer.State, record.state), ErrAnswered)
	}
	return nil
}

// Lookup returns the answer known for a key, with VerdictJoin, VerdictFinal,
// VerdictUnknown, VerdictExpired, VerdictFenced or VerdictForeign.
func (l *Ledger) Lookup(now time.Time, key rattanjob.Key, caller string) (rattanjob.Answer, Verdict) {
	epoch, answer, verdict := l.epochForCaller(key, caller)
	if epoch == nil {
		return answer, verdict
	}
	if record := epoch.records[key.Nonce]; record != nil {
		return l.recordAnswer(record, caller)
	}
	return l.answerWithoutRecord(now, epoch, key)
}

// FenceEpoch ends an epoch permanently and frees its records: all its keys
// answer Failed/HomeLost from now on. It returns the number of jobs that were
// running.
func (l *Ledger) FenceEpoch(_ time.Time, id rattanjob.EpochID) int {
	epoch := l.epochs[id.Number]
	if id.Home != l.home || epoch == nil {
		return 0
	}
	delete(l.epochs, id.Number)
	running := len(epoch.records) - (len(epoch.answered) - epoch.firstKept)
	l.counters.Records -= len(epoch.records)
	l.counters.Running -= running
	l.counters.RunningLost += uint64(running)
	l.counters.AnswerBytes -= epoch.answerBytes
	return running
}

// EpochEmpty reports whether the epoch has no record left, so that a draining
// epoch can be closed once the lifetime of its keys is over.
func (l *Ledger) EpochEmpty(id rattanjob.EpochID) bool {
	epoch := l.epochs[id.Number]
	return id.Home != l.home || epoch == nil || len(epoch.records) == 0
}

// Sweep drops results and records whose retention is over.
func (l *Ledger) Sweep(now time.Time) {
	for _, epoch := range l.epochs {
		l.sweepEpoch(now, epoch)
	}
}

// Counters returns the current counters.
func (l *Ledger) Counters() Counters {
	counters := l.counters
	counters.Epochs = len(l.epochs)
	return counters
}

func (l *Ledger) begin(now time.Time, key rattanjob.Key, caller string, digest uint64) (rattanjob.Answer, Verdict) {
	epoch, answer, verdict := l.epochForCaller(key, caller)
	if epoch == nil {
		return answer, verdict
	}
	if existing := epoch.records[key.Nonce]; existing != nil {
		if existing.digest != digest && !existing.isTombstone && existing.allowsCaller(caller) {
			return conflictAnswer(), VerdictConflict
		}
		return l.recordAnswer(existing, caller)
	}
	if answer, verdict := l.answerWithoutRecord(now, epoch, key); verdict != VerdictUnknown {
		return answer, verdict
	}
	if !l.makeRoom(now, epoch, key) {
		return ledgerFullAnswer(), VerdictFull
	}
	l.insertRunning(epoch, &record{
		nonce:    key.Nonce,
		digest:   digest,
		caller:   unique.Make(caller),
		issuedAt: key.IssuedAt,
	})
	return runningAnswer(), VerdictStart
}

// epochForCaller returns the open epoch of the key, or the answer for a key
// without one. The caller is checked first, so that a caller to whom the key
// was not issued learns nothing from the answer.
func (l *Ledger) epochForCaller(key rattanjob.Key, caller string) (*epochRecords, rattanjob.Answer, Verdict) {
	if key.CallerHash != rattanjob.HashCaller(caller) {
		return nil, unknownKeyAnswer(), VerdictForeign
	}
	epoch, err := l.findEpoch(key)
	switch {
	case errors.Is(err, ErrFenced):
		return nil, rattanjob.HomeLostAnswer("the epoch of the key has ended"), VerdictFenced
	case err != nil:
		return nil, unknownKeyAnswer(), VerdictForeign
	}
	return epoch, rattanjob.Answer{}, VerdictUnknown
}

// findEpoch returns the open epoch of the key. It fails with ErrFenced if the
// epoch has ended, and with ErrNoRecord if it was never opened here.
func (l *Ledger) findEpoch(key rattanjob.Key) (*epochRecords, error) {
	id := key.Epoch
	if epoch := l.epochs[id.Number]; epoch != nil && id.Home == l.home {
		return epoch, nil
	}
	earlier := id.Home.Instance == l.home.Instance && id.Home.Number < l.home.Number
	ended := id.Home == l.home && id.Number != 0 && id.Number <= l.latestEpoch
	if earlier || ended {
		return nil, errors.WithType(errors.Errorf("epoch %d", id.Number), ErrFenced)
	}
	return nil, errors.WithType(errors.Errorf("home %q", id.Home.Instance), ErrNoRecord)
}

// recordAnswer returns the answer for a key with a record.
func (l *Ledger) recordAnswer(existing *record, caller string) (rattanjob.Answer, Verdict) {
	switch {
	case !existing.allowsCaller(caller):
		return unknownKeyAnswer(), VerdictForeign
	case existing.state.Final():
		return existing.answer(), VerdictFinal
	}
	return runningAnswer(), VerdictJoin
}

// answerWithoutRecord returns the answer for a key without a record.
func (l *Ledger) answerWithoutRecord(now time.Time, epoch *epochRecords, key rattanjob.Key) (rattanjob.Answer, Verdict) {
	verdict := l.verdictWithoutRecord(now, epoch, key)
	switch {
	case verdict == VerdictUnknown:
		return unknownKeyAnswer(), verdict
	case l.certainlyNotRun(now, epoch, key) && key.IssuedAt < epoch.watermark:
		return ledgerFullAnswer(), verdict
	case l.certainlyNotRun(now, epoch, key):
		return rattanjob.RefusedAnswer(rattanjob.ReasonKeyExpired, "the key expired before it was submitted"), verdict
	}
	return rattanjob.Answer{
		State:     rattanjob.StateFailed,
		Execution: rattanjob.ExecutionMayHaveRun,
		Reason:    rattanjob.ReasonKeyExpired,
		Detail:    "the key is too old, and its record is not kept any more",
	}, verdict
}

// verdictWithoutRecord returns VerdictUnknown for a key that is accepted for a
// first submission, and VerdictExpired for any other. A key that is too old
// stays expired; one whose issue time is too far ahead of the epoch's clock is
// accepted once the clock has caught up.
func (l *Ledger) verdictWithoutRecord(now time.Time, epoch *epochRecords, key rattanjob.Key) Verdict {
	age := epoch.age(now)
	if key.IssuedAt < epoch.watermark || age >= key.IssuedAt+l.config.KeyLifetime {
		return VerdictExpired
	}
	if key.IssuedAt > age+maxIssueSkew {
		return VerdictExpired
	}
	return VerdictUnknown
}

// certainlyNotRun reports whether a key without a record that is no longer
// accepted was never started: if it had been, its record would still be kept.
func (l *Ledger) certainlyNotRun(now time.Time, epoch *epochRecords, key rattanjob.Key) bool {
	age := epoch.age(now)
	expired := age >= key.IssuedAt+l.config.KeyLifetime || key.IssuedAt < epoch.watermark
	retained := age < key.IssuedAt-maxIssueSkew+l.config.Retention
	return expired && retained && key.IssuedAt >= epoch.droppedBefore
}

// makeRoom makes room for the record of a key. When the ledger is full it drops
// the oldest answered records and raises the watermark above their issue times,
// so that their keys cannot start again. It returns false when the key itself
// is then below the watermark, which refuses the key permanently.
func (l *Ledger) makeRoom(now time.Time, epoch *epochRecords, key rattanjob.Key) bool {
	if l.counters.Records < l.config.MaxRecords {
		return true
	}
	l.Sweep(now)
	for l.counters.Records >= l.config.MaxRecords {
		oldest := l.epochWithOldest((*epochRecords).firstAnswered)
		if oldest == nil {
			l.raiseWatermark(epoch, key.IssuedAt+time.Millisecond)
			return false
		}
		oldest.droppedBefore = max(oldest.droppedBefore, oldest.firstAnswered().issuedAt+time.Millisecond)
		l.raiseWatermark(oldest, oldest.droppedBefore)
		l.dropRecord(oldest)
		l.counters.RecordsDroppedEarly++
	}
	return key.IssuedAt >= epoch.watermark
}

// raiseWatermark raises the watermark of an epoch and never lowers it.
func (l *Ledger) raiseWatermark(epoch *epochRecords, watermark time.Duration) {
	if watermark <= epoch.watermark {
		return
	}
	epoch.watermark = watermark
	l.counters.WatermarkRaised++
}

// insertRunning adds a record without an answer.
func (l *Ledger) insertRunning(epoch *epochRecords, newRecord *record) {
	newRecord.state = compactState(rattanjob.StateRunning)
	epoch.records[newRecord.nonce] = newRecord
	l.counters.Records++
	l.counters.Running++
}

// storeAnswer stores the final answer in a record without one.
func (l *Ledger) storeAnswer(now time.Time, epoch *epochRecords, finished *record, answer rattanjob.Answer) {
	finished.setAnswer(answer)
	finished.finishedAt = epoch.age(now)
	epoch.answered = append(epoch.answered, finished)
	epoch.answerBytes += finished.contentBytes()
	l.counters.AnswerBytes += finished.contentBytes()
	l.counters.Running--
	l.counters.Finished++
	if answer.State == rattanjob.StateRefused {
		l.counters.Tombstones++
	}
	l.enforceMaxAnswerBytes()
}

// enforceMaxAnswerBytes drops the oldest results until the rest is within
// MaxAnswerBytes.
func (l *Ledger) enforceMaxAnswerBytes() {
	for l.counters.AnswerBytes > l.config.MaxAnswerBytes {
		oldest := l.epochWithOldest((*epochRecords).firstWithContent)
		if oldest == nil {
			return
		}
		l.dropContent(oldest)
	}
}

func (l *Ledger) sweepEpoch(now time.Time, epoch *epochRecords) {
	age := epoch.age(now)
	for first := epoch.firstWithContent(); first != nil && age >= first.finishedAt+l.config.AnswerRetention; first = epoch.firstWithContent() {
		l.dropContent(epoch)
	}
	for first := epoch.firstAnswered(); first != nil && l.pastRetention(age, first); first = epoch.firstAnswered() {
		l.dropRecord(epoch)
	}
}

// pastRetention reports whether the retention of a record is over and its key
// could no longer start without the record.
func (l *Ledger) pastRetention(age time.Duration, answered *record) bool {
	return age >= answered.finishedAt+l.config.Retention && age >= answered.issuedAt+l.config.KeyLifetime
}

// dropContent drops the content of the first answered record that has any.
func (l *Ledger) dropContent(epoch *epochRecords) {
	first := epoch.firstWithContent()
	epoch.answerBytes -= first.contentBytes()
	l.counters.AnswerBytes -= first.contentBytes()
	first.content = nil
	l.counters.ResultsDropped++
}

// dropRecord drops the record that was answered first.
func (l *Ledger) dropRecord(epoch *epochRecords) {
	first := epoch.firstAnswered()
	epoch.answerBytes -= first.contentBytes()
	l.counters.AnswerBytes -= first.contentBytes()
	epoch.removeFirstAnswered()
	l.counters.Records--
	l.counters.RecordsDropped++
}

// epochWithOldest returns the epoch whose candidate record was answered first,
// or nil.
func (l *Ledger) epochWithOldest(candidate func(*epochRecords) *record) *epochRecords {
	var oldest *epochRecords
	var oldestAt time.Time
	for _, epoch := range l.epochs {
		first := candidate(epoch)
		if first == nil {
			continue
		}
		if answeredAt := epoch.start.Add(first.finishedAt); oldest == nil || answeredAt.Before(oldestAt) {
			oldest, oldestAt = epoch, answeredAt
		}
	}
	return oldest
}

func (l *Ledger) countVerdict(verdict Verdict) {
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

func runningAnswer() rattanjob.Answer {
	return rattanjob.Answer{State: rattanjob.StateRunning}
}

func unknownKeyAnswer() rattanjob.Answer {
	return rattanjob.UnknownAnswer(rattanjob.ReasonKeyUnknown, "no record of the key", 0)
}

func ledgerFullAnswer() rattanjob.Answer {
	return rattanjob.RefusedAnswer(rattanjob.ReasonOverloaded, "the home cannot keep further records")
}

func conflictAnswer() rattanjob.Answer {
	return rattanjob.UnknownAnswer(rattanjob.ReasonConflict, "the key was used with another body; nothing was started for this one", 0)
}
