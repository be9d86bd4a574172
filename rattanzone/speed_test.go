package rattanzone

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestSpeedMonitor guards against taking a single interruption for a slow
// machine, and against a machine that counts as slow forever.
func TestSpeedMonitor(t *testing.T) {
	c := qt.New(t)
	times := []time.Duration{}
	monitor := &speedMonitor{compute: func() time.Duration {
		next := times[0]
		times = times[1:]
		return next * time.Microsecond
	}}
	now := time.Unix(1_800_000_000, 0)
	for i, step := range []struct {
		times []time.Duration
		want  bool
	}{
		{[]time.Duration{90, 80, 300}, false},
		{[]time.Duration{500, 500, 90}, false},
		{[]time.Duration{400, 410, 420}, false},
		{[]time.Duration{100, 410, 420}, false},
		{[]time.Duration{400, 410, 420}, false},
		{[]time.Duration{400, 410, 420}, true},
		{[]time.Duration{150, 160, 170}, true},
		{[]time.Duration{100, 160, 170}, false},
	} {
		times = step.times
		c.Check(monitor.check(now), qt.Equals, step.want, qt.Commentf("check %d", i))
	}
}

// TestSpeedIsCalibrated guards against a machine that never counts as slow because
// its first measurement, while all processes started, took too long.
func TestSpeedIsCalibrated(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	elapsed := 300 * time.Microsecond
	agent := New(Config{
		Self: rattanwork.Member{Name: "self", Zone: "a"}, Peers: noPeers{}, Journal: quietJournal{},
		DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: func() time.Time { return now },
	})
	measurements := 0
	agent.speed.compute = func() time.Duration { measurements++; return elapsed }
	agent.speed.check(now)
	elapsed = 100 * time.Microsecond
	const minute = 60
	for range minute * 10 {
		now = now.Add(100 * time.Millisecond)
		agent.checkSpeed(now)
	}
	c.Check(measurements <= minute, qt.IsTrue, qt.Commentf("%d measurements a minute", measurements))
	elapsed = 600 * time.Microsecond
	agent.speed.check(now)
	c.Check(agent.speed.check(now), qt.IsTrue)
}

// recordingPeers accepts all calls and records which member took the zone over.
type recordingPeers struct {
	noPeers
	takenOverBy []string
}

func (p *recordingPeers) Call(_ context.Context, address, method string, _ []byte) ([]byte, error) {
	if method == methodTakeOver {
		p.takenOverBy = append(p.takenOverBy, address)
	}
	return json.Marshal(View{Sender: rattanwork.Member{Name: address, Zone: "a"}})
}

// quietJournal ignores all events.
type quietJournal struct{}

func (quietJournal) HomeChanged(Claim, string)          {}
func (quietJournal) HomeSuspected(Claim, string)        {}
func (quietJournal) SpeedChanged(bool, float64)         {}
func (quietJournal) StartListTold(StartListResult, int) {}
func (quietJournal) StartsLearned(string, string, []rattanscheduler.OutstandingStart) {
}
func (quietJournal) DirectoryLost(error)          {}
func (quietJournal) DirectoryRegained()           {}
func (quietJournal) CrashStoreFailed(error)       {}
func (quietJournal) CancellationsNotLoaded(error) {}

func (*recordingPeers) Notify(context.Context, string, string, []byte) error {
	return nil
}

var _ Peers = (*recordingPeers)(nil)

// TestSlowMachineHandsOver guards against a home on a throttled machine that
// answers heartbeats and keeps its zone, and against a successor that is slow
// too or less powerful than the slow machine still is.
func TestSlowMachineHandsOver(t *testing.T) {
	tests := map[string]struct {
		members []member
		factor  float64
		want    []string
	}{
		"equal machine":            {[]member{{Member: rattanwork.Member{Name: "b", MilliCPU: 800}}}, 5, []string{"b"}},
		"slow one left out":        {[]member{{Member: rattanwork.Member{Name: "b", MilliCPU: 800}, slow: true}, {Member: rattanwork.Member{Name: "c", MilliCPU: 800}}}, 5, []string{"c"}},
		"weak, still more":         {[]member{{Member: rattanwork.Member{Name: "b", MilliCPU: 300}}}, 5, []string{"b"}},
		"too weak":                 {[]member{{Member: rattanwork.Member{Name: "b", MilliCPU: 192}}}, 5, nil},
		"no other member answers ": {nil, 5, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			peers := &recordingPeers{}
			agent := New(Config{
				Self: rattanwork.Member{Name: "self", Zone: "a", MilliCPU: 800}, Peers: peers, Journal: quietJournal{},
				DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: func() time.Time { return now },
			})
			for _, m := range test.members {
				m.Zone, m.Address, m.lastHeard = "a", m.Name, now
				agent.members[m.Name] = &m
			}
			agent.handOverFromSlowMachine(test.factor)
			qt.New(t).Check(peers.takenOverBy, qt.DeepEquals, test.want)
		})
	}
}
