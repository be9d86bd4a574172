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

// feedStep is one answer of a store.
type feedStep struct {
	document string
	err      error
}

// scriptedFeed answers reads and watches from a script and then stays silent.
type scriptedFeed struct {
	mutex sync.Mutex
	steps []feedStep
	done  chan struct{}
}

func (f *scriptedFeed) next(ctx context.Context) ([]byte, int64, error) {
	f.mutex.Lock()
	if len(f.steps) == 0 {
		f.mutex.Unlock()
		close(f.done)
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	step := f.steps[0]
	f.steps = f.steps[1:]
	f.mutex.Unlock()
	if step.document == "" {
		return nil, 1, step.err
	}
	return []byte(step.document), 1, step.err
}

func (f *scriptedFeed) Current(ctx context.Context) ([]byte, int64, error) {
	return f.next(ctx)
}

func (f *scriptedFeed) Changed(ctx context.Context, _ int64, _ time.Duration) ([]byte, int64, error) {
	return f.next(ctx)
}

// desiredRecord counts what a Desired reports.
type desiredRecord struct {
	accepted []int64
	invalid  int
	lost     int
	back     int
}

func (r *desiredRecord) DesiredAccepted(version int64, _ string) {
	r.accepted = append(r.accepted, version)
}
func (r *desiredRecord) DesiredInvalid(string, error) { r.invalid++ }
func (r *desiredRecord) StoreLost(error)              { r.lost++ }
func (r *desiredRecord) StoreBack(time.Duration)      { r.back++ }

func parseVersion(document []byte) (*rattanwork.DesiredState, error) {
	version, err := strconv.ParseInt(string(document), 10, 64)
	return &rattanwork.DesiredState{Version: version}, errors.Trace(err)
}

// TestDesired guards against a version that goes back, against an outage that
// is reported where the operator has only written nothing yet, and against a
// broken document that takes the one in force away.
func TestDesired(t *testing.T) {
	const away = errors.ConstError("away")
	tests := map[string]struct {
		steps []feedStep
		want  desiredRecord
	}{
		"rises":           {[]feedStep{{"3", nil}, {"", nil}, {"7", nil}}, desiredRecord{accepted: []int64{3, 7}}},
		"stale answer":    {[]feedStep{{"7", nil}, {"3", nil}, {"7", nil}}, desiredRecord{accepted: []int64{7}}},
		"none yet":        {[]feedStep{{"", rattanwork.ErrNoDesired}, {"3", nil}}, desiredRecord{accepted: []int64{3}}},
		"outage":          {[]feedStep{{"3", nil}, {"", away}, {"", away}, {"4", nil}, {"", nil}}, desiredRecord{accepted: []int64{3, 4}, lost: 1, back: 1}},
		"broken document": {[]feedStep{{"3", nil}, {"x", nil}, {"4", nil}}, desiredRecord{accepted: []int64{3, 4}, invalid: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			feed := &scriptedFeed{steps: test.steps, done: make(chan struct{})}
			record := &desiredRecord{}
			desired := NewDesired(DesiredConfig{Feed: feed, Parse: parseVersion, Journal: record, Clock: time.Now})
			c.Assert(desired.Start(context.Background()), qt.IsNil)
			<-feed.done
			c.Assert(desired.Stop(context.Background()), qt.IsNil)
			c.Check(record.accepted, qt.DeepEquals, test.want.accepted)
			c.Check([]int{record.invalid, record.lost, record.back}, qt.DeepEquals, []int{test.want.invalid, test.want.lost, test.want.back})
			c.Check(desired.Version(), qt.Equals, test.want.accepted[len(test.want.accepted)-1])
		})
	}
}
