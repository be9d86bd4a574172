package rattanzone

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// scriptedAnswer is one answer of the store.
type scriptedAnswer struct {
	document string
	err      error
}

// scriptedSource answers reads and watches from a script. After the last answer
// it closes exhausted and blocks.
type scriptedSource struct {
	mutex     sync.Mutex
	answers   []scriptedAnswer
	exhausted chan struct{}
}

func (s *scriptedSource) next(ctx context.Context) (rattanwork.OperatorState, error) {
	s.mutex.Lock()
	if len(s.answers) == 0 {
		s.mutex.Unlock()
		close(s.exhausted)
		<-ctx.Done()
		return rattanwork.OperatorState{}, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mutex.Unlock()
	if answer.document == "" {
		return rattanwork.OperatorState{Revision: 1}, answer.err
	}
	return rattanwork.OperatorState{Document: []byte(answer.document), Revision: 1}, answer.err
}

func (s *scriptedSource) Current(ctx context.Context) (rattanwork.OperatorState, error) {
	return s.next(ctx)
}

func (s *scriptedSource) WaitForChange(ctx context.Context, _ rattanwork.OperatorState, _ time.Duration) (rattanwork.OperatorState, error) {
	return s.next(ctx)
}

// recordingJournal counts the events that a DesiredStateWatcher records.
type recordingJournal struct {
	accepted []int64
	invalid  int
	lost     int
	regained int
}

func (r *recordingJournal) DesiredStateAccepted(version int64, _ string) {
	r.accepted = append(r.accepted, version)
}
func (r *recordingJournal) DesiredStateInvalid(string, error) { r.invalid++ }

func (r *recordingJournal) DesiredStateNotReceived(string, error) {}
func (r *recordingJournal) StoreLost(error)                       { r.lost++ }
func (r *recordingJournal) StoreRegained(time.Duration)           { r.regained++ }

func parseVersion(document []byte) (*rattanwork.DesiredState, error) {
	version, err := strconv.ParseInt(string(document), 10, 64)
	return &rattanwork.DesiredState{Version: version}, errors.Trace(err)
}

// TestDesiredStateWatcher guards against three failures: a stale read lowers
// the version in force, an outage is recorded although the store answers that
// no state has been written yet, and an invalid document replaces the one in
// force.
func TestDesiredStateWatcher(t *testing.T) {
	const errUnavailable = errors.ConstError("away")
	tests := map[string]struct {
		answers []scriptedAnswer
		want    recordingJournal
	}{
		"newer version":    {[]scriptedAnswer{{"3", nil}, {"", nil}, {"7", nil}}, recordingJournal{accepted: []int64{3, 7}}},
		"stale answer":     {[]scriptedAnswer{{"7", nil}, {"3", nil}, {"7", nil}}, recordingJournal{accepted: []int64{7}}},
		"no state yet":     {[]scriptedAnswer{{"", rattanwork.ErrNoDesiredState}, {"3", nil}}, recordingJournal{accepted: []int64{3}}},
		"outage":           {[]scriptedAnswer{{"3", nil}, {"", errUnavailable}, {"", errUnavailable}, {"4", nil}, {"", nil}}, recordingJournal{accepted: []int64{3, 4}, lost: 1, regained: 1}},
		"invalid document": {[]scriptedAnswer{{"3", nil}, {"x", nil}, {"4", nil}}, recordingJournal{accepted: []int64{3, 4}, invalid: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			source := &scriptedSource{answers: test.answers, exhausted: make(chan struct{})}
			journal := &recordingJournal{}
			watcher := NewDesiredStateWatcher(DesiredStateConfig{Source: source, Parse: parseVersion, Journal: journal, Clock: time.Now})
			c.Assert(watcher.Start(context.Background()), qt.IsNil)
			<-source.exhausted
			c.Assert(watcher.Stop(context.Background()), qt.IsNil)
			c.Check(journal.accepted, qt.DeepEquals, test.want.accepted)
			c.Check([]int{journal.invalid, journal.lost, journal.regained}, qt.DeepEquals, []int{test.want.invalid, test.want.lost, test.want.regained})
			c.Check(watcher.Version(), qt.Equals, test.want.accepted[len(test.want.accepted)-1])
		})
	}
}
