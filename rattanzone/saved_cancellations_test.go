package rattanzone

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattancancel"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// fakeSaved holds one cancellation, and gives it after some failures.
type fakeSaved struct{ failures atomic.Int64 }

func (s *fakeSaved) Load(context.Context) ([]rattancancel.Cancellation, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, errors.New("store is away")
	}
	return []rattancancel.Cancellation{{JobID: "00000000000000aa", Known: true}}, nil
}

// TestSavedCancellationsComeBeforeClaim guards against a home that starts cancelled
// jobs because it has not loaded what was saved, and against a zone without a home
// while the store is away.
func TestSavedCancellationsComeBeforeClaim(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	saved := &fakeSaved{}
	saved.failures.Store(2)
	agent := New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, SavedCancellations: saved, Journal: quietJournal{},
		Clock: func() time.Time { return start },
	})
	c.Check(agent.mayStartJobs(start.Add(discoveryTime)), qt.IsFalse)
	c.Check(agent.mayStartJobs(start.Add(maxLoadTime)), qt.IsTrue)
	for range 2 {
		c.Check(agent.loadCancellations(), qt.IsNotNil)
		c.Check(agent.mayStartJobs(start), qt.IsFalse)
	}
	c.Check(agent.loadCancellations(), qt.IsNil)
	c.Check(agent.mayStartJobs(start), qt.IsTrue)
	_, remembered := agent.config.Cancellations.Contains("00000000000000aa", start)
	c.Check(remembered, qt.IsTrue)
}
