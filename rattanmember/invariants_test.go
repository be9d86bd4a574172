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

// uniformRuns is the number of runs with uniformly random choices. Rapid
// prefers small values, which makes small clusters and short runs.
const uniformRuns = 500

// TestMain fixes the seed and the number of rapid checks, so that the tests are
// reproducible. Both can be set with -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "500"}
	flag.Parse()
	flag.Visit(func(given *flag.Flag) { delete(defaults, given.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// chooseFunc returns a random number in [0, n); the label names the choice.
type chooseFunc func(label string, n int) int

func uniformChoice(seed uint64) chooseFunc {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, n int) int { return random.IntN(n) }
}

// runRandomFaults runs a cluster with random faults, ends the faults, and then
// leaves one survivor.
func runRandomFaults(choose chooseFunc, injectedFaults faults) (*testCluster, error) {
	c := newTestCluster(uint64(choose("seed", 1<<30)), 3+choose("size", 5), 1+choose("zones", 2), injectedFaults)
	if err := c.run(5 * time.Second); err != nil {
		return c, err
	}
	c.loss = float64(1+choose("loss", 40)) / 100
	for range 60 + choose("steps", 200) {
		n := c.nodes[choose("node", len(c.nodes))]
		if err := applyRandomAction(c, n, choose); err != nil {
			return c, err
		}
	}
	if err := c.healAndCheck(); err != nil {
		return c, err
	}
	active := c.activeNodes()
	return c, c.checkSurvivor(active[choose("survivor", len(active))])
}

// applyRandomAction lets time pass, requests votes, injects a fault, or ends
// one.
func applyRandomAction(c *testCluster, n *node, choose chooseFunc) error {
	awake := n.running && c.now >= n.pausedUntil
	switch action := choose("action", 32); {
	case action < 14:
		return c.step(time.Duration(10+choose("elapsed", 400)) * time.Millisecond)
	case action < 23 && awake && len(c.opened) > 0:
		epochs := c.opened
		if witnessed := c.undecidedEpochs(); len(witnessed) > 0 && choose("witnessed", 4) > 0 {
			epochs = witnessed
		}
		return c.collectVotes(n, epochs[len(epochs)-1-choose("epoch", min(len(epochs), 3))])
	case action == 23 && n.running:
		n.pausedUntil = c.now + time.Duration(choose("pause", 4_000))*time.Millisecond
	case action == 24 && choose("oneway", 2) == 0:
		n.dropsFrom = c.nodes[choose("other", len(c.nodes))]
	case action == 24:
		n.partitionGroup = choose("group", 2)
	case action == 25:
		for _, other := range c.nodes {
			other.partitionGroup, other.dropsFrom, other.delayMessages = 0, nil, false
		}
	case action == 26 && awake && choose("leave", 4) == 0:
		n.table.Leave(c.localTime(n))
		n.leaving = true
	case action == 26 && n.running && len(c.activeNodes()) > 2:
		c.kill(n, choose("host", 2) == 0)
		n.delisted = choose("delisted", 4) == 0
	case action == 27 && !n.running && !n.delisted:
		c.start(n)
	case action == 28 && n.running && c.faults.sameIncarnation:
		c.start(n)
	case action <= 29 && awake:
		c.reportUnreachable(n, c.nodes[choose("other", len(c.nodes))])
	case action == 30 && awake:
		c.updateInstanceList(n)
	case action == 31 && choose("isolated", 2) == 0:
		return c.isolateHome()
	case action == 31:
		n.delayMessages = true
	}
	return nil
}

// TestRandomFaults guards against a job that is answered as lost while its home
// still runs it, two current incarnations, an epoch ended without a majority or
// a proof, and zones that do not recover from a partition or from the loss of
// all other members.
func TestRandomFaults(t *testing.T) {
	decisions := 0
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		c, err := runRandomFaults(choose, faults{})
		if err != nil {
			rt.Fatalf("%+v", err)
		}
		decisions += c.decisions
	})
	for seed := range uint64(uniformRuns) {
		c, err := runRandomFaults(uniformChoice(seed), faults{})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		decisions += c.decisions
	}
	t.Logf("decisions that the epoch of a running home has ended: %d", decisions)
	qt.Assert(t, decisions > 0, qt.IsTrue)
}

// TestInjectedFaults guards against checks of TestRandomFaults that cannot
// fail.
func TestInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		want   error
	}{
		{"negative margin", faults{config: func(c *Config) { c.VerdictMargin = -1100 * time.Millisecond }}, errValidAfterEnd},
		{"tenure from the reply", faults{tenureFromReply: true}, errValidAfterEnd},
		{"clock rates", faults{clockRates: true}, errValidAfterEnd},
		{"same incarnation", faults{sameIncarnation: true}, errValidAfterEnd},
		{"refused while paused", faults{refuseWhilePaused: true}, errUnprovedEnd},
		{"vote counted twice", faults{countVoteTwice: true}, errUnprovedEnd},
		{"revived incarnation", faults{revive: true}, errRevived},
		{"no changes", faults{noChanges: true}, errDiverged},
		{"no rollover", faults{stopRollover: true}, errSurvivorWithoutEpoch},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 1000 && !found; seed++ {
				_, err := runRandomFaults(uniformChoice(seed), test.faults)
				found = errors.Is(err, test.want)
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}

// TestTimeToDecision guards against jobs of a silent home that stay unresolved
// for longer than 3 s after its host has failed, and against a zone that has no
// owner with a valid epoch by then. A large margin shows that the check can
// fail.
func TestTimeToDecision(t *testing.T) {
	const maxTime = 3 * time.Second
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
				c := newTestCluster(seed, 9, 3, faults{config: func(c *Config) { c.VerdictMargin = test.margin }})
				qt.Assert(t, c.run(20*time.Second), qt.IsNil)
				epochs := c.undecidedEpochs()
				epoch := epochs[len(epochs)-1]
				home := c.node(epoch.ID.Home.Instance)
				zonePeer := c.nodes[(slices.Index(c.nodes, home)+3)%9]
				c.kill(home, true)
				killedAt, ownedAt := c.now, time.Duration(0)
				for c.now < killedAt+2*maxTime && (ownedAt == 0 || !c.ended[epoch.ID]) {
					qt.Assert(t, c.step(100*time.Millisecond), qt.IsNil)
					if !c.ended[epoch.ID] {
						qt.Assert(t, c.collectVotes(zonePeer, epoch), qt.IsNil)
						slowest = max(slowest, c.now-killedAt)
					}
					owner, found := zonePeer.table.Owner(c.localTime(zonePeer), home.zone, 0)
					if found && c.running[owner.Incarnation] && owner.Epoch.ID.Number > 0 && ownedAt == 0 {
						ownedAt = c.now
						slowestOwner = max(slowestOwner, ownedAt-killedAt)
					}
				}
			}
			t.Logf("decision after at most %v, next owner after at most %v", slowest, slowestOwner)
			qt.Assert(t, slowest <= maxTime && slowestOwner <= maxTime, qt.Equals, test.want)
		})
	}
}
