package rattanmember

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// uniformHistories is the number of histories with uniform choices. Those of
// rapid prefer small values, which makes small fleets and short runs.
const uniformHistories = 500

// TestMain fixes the seed and the number of histories, so that every run of the
// tests has the same result. Others are given with -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "500"}
	flag.Parse()
	flag.Visit(func(given *flag.Flag) { delete(defaults, given.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

type chooser func(label string, n int) int

func uniform(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, n int) int { return random.IntN(n) }
}

// history runs a fleet through random faults, heals it, and leaves one survivor.
func history(choose chooser, injected faults) (*fleet, error) {
	f := newFleet(uint64(choose("seed", 1<<30)), 3+choose("size", 5), 1+choose("zones", 2), injected)
	if err := f.run(5 * time.Second); err != nil {
		return f, err
	}
	f.loss = float64(1+choose("loss", 40)) / 100
	for range 60 + choose("steps", 200) {
		n := f.nodes[choose("node", len(f.nodes))]
		if err := act(f, n, choose); err != nil {
			return f, err
		}
	}
	if err := f.heal(); err != nil {
		return f, err
	}
	active := f.active()
	return f, f.strand(active[choose("survivor", len(active))])
}

func act(f *fleet, n *node, choose chooser) error {
	awake := n.up && f.now >= n.pausedUntil
	switch action := choose("action", 32); {
	case action < 14:
		return f.step(time.Duration(10+choose("elapsed", 400)) * time.Millisecond)
	case action < 23 && awake && len(f.opened) > 0:
		epochs := f.opened
		if witnessed := f.witnessed(); len(witnessed) > 0 && choose("witnessed", 4) > 0 {
			epochs = witnessed
		}
		return f.collect(n, epochs[len(epochs)-1-choose("epoch", min(len(epochs), 3))])
	case action == 23 && n.up:
		n.pausedUntil = f.now + time.Duration(choose("pause", 4_000))*time.Millisecond
	case action == 24 && choose("oneway", 2) == 0:
		n.deafTo = f.nodes[choose("other", len(f.nodes))]
	case action == 24:
		n.group = choose("group", 2)
	case action == 25:
		for _, other := range f.nodes {
			other.group, other.deafTo, other.late = 0, nil, false
		}
	case action == 26 && awake && choose("leave", 4) == 0:
		n.table.Leave(f.local(n))
		n.leaving = true
	case action == 26 && n.up && len(f.active()) > 2:
		f.kill(n, choose("host", 2) == 0)
		n.delisted = choose("delisted", 4) == 0
	case action == 27 && !n.up && !n.delisted:
		f.start(n)
	case action == 28 && n.up && f.faults.sameIncarnation:
		f.start(n)
	case action <= 29 && awake:
		f.unreachable(n, f.nodes[choose("other", len(f.nodes))])
	case action == 30 && awake:
		f.list(n)
	case action == 31 && choose("isolated", 2) == 0:
		return f.isolate()
	case action == 31:
		n.late = true
	}
	return nil
}

// TestHistories guards against a job that is answered as lost while its home
// still runs it, against two current incarnations, against a verdict without a
// majority or a proof, and against zones that do not recover from a partition
// or from the loss of all other members.
func TestHistories(t *testing.T) {
	verdicts := 0
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		f, err := history(choose, faults{})
		if err != nil {
			rt.Fatalf("%+v", err)
		}
		verdicts += f.verdicts
	})
	for seed := range uint64(uniformHistories) {
		f, err := history(uniform(seed), faults{})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		verdicts += f.verdicts
	}
	t.Logf("verdicts on running homes: %d", verdicts)
	qt.Assert(t, verdicts > 0, qt.IsTrue)
}

// TestInjectedFaults guards against checks of TestHistories that cannot fail.
func TestInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		want   error
	}{
		{"negative margin", faults{config: func(c *Config) { c.VerdictMargin = -1100 * time.Millisecond }}, errValidAfterEnd},
		{"tenure from the reply", faults{countsFromReply: true}, errValidAfterEnd},
		{"clock rates", faults{rates: true}, errValidAfterEnd},
		{"same incarnation", faults{sameIncarnation: true}, errValidAfterEnd},
		{"pause refuses", faults{pauseRefuses: true}, errFalseEnd},
		{"double votes", faults{doubleVotes: true}, errFalseEnd},
		{"revived", faults{revive: true}, errRevived},
		{"no changes", faults{noChanges: true}, errDiverged},
		{"no roll", faults{noRoll: true}, errStranded},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 1000 && !found; seed++ {
				_, err := history(uniform(seed), test.faults)
				found = errors.Is(err, test.want)
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}

// TestResolution guards against jobs of a silent home that stay unresolved for
// longer than 3 s, and against a zone that has no owner with a valid epoch by
// then. A large margin shows that the check can fail.
func TestResolution(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		name   string
		margin time.Duration
		want   bool
	}{
		{"default", DefaultVerdictMargin, true},
		{"injected fault", 5 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var slowest, slowestOwner time.Duration
			for seed := range uint64(50) {
				f := newFleet(seed, 9, 3, faults{config: func(c *Config) { c.VerdictMargin = test.margin }})
				qt.Assert(t, f.run(20*time.Second), qt.IsNil)
				epochs := f.witnessed()
				epoch := epochs[len(epochs)-1]
				home := f.node(epoch.ID.Home.Instance)
				mate := f.nodes[(slices.Index(f.nodes, home)+3)%9]
				f.kill(home, true)
				killedAt, ownedAt := f.now, time.Duration(0)
				for f.now < killedAt+2*bound && (ownedAt == 0 || !f.ended[epoch.ID]) {
					qt.Assert(t, f.step(100*time.Millisecond), qt.IsNil)
					if !f.ended[epoch.ID] {
						qt.Assert(t, f.collect(mate, epoch), qt.IsNil)
						slowest = max(slowest, f.now-killedAt)
					}
					owner, found := mate.table.Owner(f.local(mate), home.zone, 0)
					if found && f.running[owner.Incarnation] && owner.Epoch.ID.Number > 0 && ownedAt == 0 {
						ownedAt = f.now
						slowestOwner = max(slowestOwner, ownedAt-killedAt)
					}
				}
			}
			t.Logf("verdict after at most %v, next owner after at most %v", slowest, slowestOwner)
			qt.Assert(t, slowest <= bound && slowestOwner <= bound, qt.Equals, test.want)
		})
	}
}
