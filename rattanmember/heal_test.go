package rattanmember

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// viewsAgree reports whether every member knows all running incarnations as
// alive and names the owner's own epoch for every zone.
func (s *startup) viewsAgree() bool {
	for _, node := range s.nodes {
		for _, other := range s.nodes {
			member, found := node.table.Member(s.now, other.config.Self.Incarnation.Instance)
			if !found || member.Incarnation != other.config.Self.Incarnation || member.Status != StatusAlive {
				return false
			}
		}
	}
	return s.agreed()
}

const (
	histories = 12
	// controlRate is the target for the control traffic of a node in bytes per
	// second, taken as a mean over ten seconds.
	controlRate = 30_000
	agreeWithin = 60 * time.Second
	// heartbeatPayload is about the size of the payload of the other services.
	heartbeatPayload = 128
)

// healing is what a heal costs: the most bytes that a member sends and receives
// in one second and as a mean of ten, and the time until all views agree.
type healing struct {
	second, tenSeconds int
	agreed             time.Duration
}

// partition cuts the first two zones from the others for a time, in one
// direction only if oneWay is set, and restarts a member every ten seconds.
func (s *startup) partition(duration time.Duration, oneWay bool) {
	far := func(n *startNode) bool {
		return n.config.Self.AvailabilityZone != s.zone(0) && n.config.Self.AvailabilityZone != s.zone(1)
	}
	s.cut = func(from, to *startNode) bool { return far(from) && !far(to) || !oneWay && !far(from) && far(to) }
	for end, restartAt := s.now.Add(duration), s.now; s.now.Before(end); s.tick() {
		if !s.now.Before(restartAt) {
			s.restart(s.nodes[s.random.IntN(len(s.nodes))])
			restartAt = restartAt.Add(10 * time.Second)
		}
	}
	s.cut = func(*startNode, *startNode) bool { return false }
}

func (s *startup) restart(node *startNode) {
	node.config.Self.Incarnation.Number = uint64(s.now.UnixMilli())
	node.table = New(s.now, node.config)
}

// traffic collects the bytes of each member by seconds.
type traffic struct {
	healing
	seconds []map[string]int
}

func (t *traffic) window() int { return 10 }

func (t *traffic) add(bytes map[string]int) {
	t.seconds = append(t.seconds, bytes)
	for name, last := range bytes {
		t.second = max(t.second, last)
		if len(t.seconds) < t.window() {
			continue
		}
		sum := 0
		for _, earlier := range t.seconds[len(t.seconds)-t.window():] {
			sum += earlier[name]
		}
		t.tenSeconds = max(t.tenSeconds, sum/t.window())
	}
}

// heal measures the time after a partition until the views agree, at most limit,
// and the traffic meanwhile and for at least ten seconds.
func (s *startup) heal(limit time.Duration) healing {
	var traffic traffic
	for began := s.now; s.now.Sub(began) < limit && (traffic.agreed == 0 || len(traffic.seconds) < traffic.window()); {
		s.bytes = map[string]int{}
		for range 20 {
			s.tick()
		}
		traffic.add(s.bytes)
		if traffic.agreed == 0 && s.viewsAgree() {
			traffic.agreed = s.now.Sub(began)
		}
	}
	s.bytes = nil
	return traffic.healing
}

// BenchmarkHeal measures the traffic of the busiest member after a partition of
// three minutes, and the time until all views agree.
func BenchmarkHeal(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{9, 3}, {30, 5}, {100, 5}, {300, 5}} {
		for _, oneWay := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/one-way=%v", size.members, oneWay), func(b *testing.B) {
				var worst healing
				runs := 0
				for b.Loop() {
					s := newStartup(uint64(runs), startCase{size: size.members, zones: size.zones, seeds: 3})
					for range 20 * 60 {
						s.tick()
					}
					for _, node := range s.nodes {
						node.table.SetPayload(make([]byte, heartbeatPayload))
					}
					s.partition(3*time.Minute, oneWay)
					result := s.heal(5 * time.Minute)
					worst.second = max(worst.second, result.second)
					worst.tenSeconds = max(worst.tenSeconds, result.tenSeconds)
					worst.agreed = max(worst.agreed, result.agreed)
					runs++
				}
				b.ReportMetric(float64(worst.second), "max-B/member-s")
				b.ReportMetric(float64(worst.tenSeconds), "max-B/member-s-over-10s")
				b.ReportMetric(worst.agreed.Seconds(), "max-s-to-agreement")
			})
		}
	}
}

// TestHealing guards, over random cuts between zones and regions in one or both
// directions with restarts meanwhile, against two current epochs of a home, an
// epoch that is valid after it ended, views that do not agree, and a storm of
// messages after the heal.
func TestHealing(t *testing.T) {
	for seed := range uint64(histories) {
		f, err := partitions(uniform(seed), faults{})
		qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		if err == nil {
			var result healing
			result, err = f.measureHeal(agreeWithin)
			qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
			qt.Check(t, result.agreed > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
			qt.Check(t, result.tenSeconds <= controlRate, qt.IsTrue, qt.Commentf("seed %d: %d B/s", seed, result.tenSeconds))
			t.Logf("seed %d: %d members agree after %v, %d B/s over 10 s, %d B in a second", seed, len(f.nodes), result.agreed, result.tenSeconds, result.second)
		}
	}
}

// TestHealingInjectedFaults guards against checks of TestHealing that cannot
// fail.
func TestHealingInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		failed func(err error, result healing) bool
	}{
		{"two current epochs", faults{twoCurrent: true}, func(err error, _ healing) bool { return errors.Is(err, errTwoCurrent) }},
		{"negative margin", faults{config: func(c *Config) { c.VerdictMargin = -1100 * time.Millisecond }}, func(err error, _ healing) bool {
			return errors.Is(err, errValidAfterEnd)
		}},
		{"no heal", faults{keepCut: true}, func(err error, result healing) bool { return err == nil && result.agreed == 0 }},
		{"short intervals", faults{config: func(c *Config) { c.HeartbeatInterval, c.GossipInterval = 50*time.Millisecond, 100*time.Millisecond }}, func(err error, result healing) bool {
			return err == nil && result.tenSeconds > controlRate
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 100 && !found; seed++ {
				f, err := partitions(uniform(seed), test.faults)
				var result healing
				if err == nil {
					result, err = f.measureHeal(10 * time.Second)
				}
				found = test.failed(err, result)
			}
			qt.Check(t, found, qt.IsTrue)
		})
	}
}

// partitions runs a fleet in two regions of two zones each, through cuts of some
// minutes between zones or regions, with restarts, pauses and votes meanwhile.
func partitions(choose chooser, injected faults) (*fleet, error) {
	f := newFleet(uint64(choose("seed", 1<<30)), 6+choose("size", 7), 4, injected)
	if err := f.run(10 * time.Second); err != nil {
		return f, err
	}
	for range 1 + choose("cuts", 3) {
		f.partition(choose)
		for end := f.now + time.Duration(30+choose("duration", 180))*time.Second; f.now < end; {
			if err := f.run(time.Duration(500+choose("elapsed", 5_000)) * time.Millisecond); err != nil {
				return f, err
			}
			if err := f.disturb(choose); err != nil {
				return f, err
			}
		}
		f.cut = nil
		if err := f.run(time.Duration(choose("pause", 20)) * time.Second); err != nil {
			return f, err
		}
	}
	// The last cut is still in force when the heal is measured.
	f.partition(choose)
	return f, f.run(time.Minute)
}

// partition cuts one zone from another, or one region from the other, in both
// directions or in one.
func (f *fleet) partition(choose chooser) {
	a, b := choose("a", 4), choose("b", 4)
	region, oneWay := choose("region", 2) == 0, choose("oneway", 2) == 0
	f.cut = map[[2]string]bool{}
	for from := range 4 {
		for to := range 4 {
			zones := from == a && to == b && a != b
			regions := from/2 == a/2 && to/2 != a/2
			if region && regions || !region && zones {
				f.cut[[2]string{fmt.Sprintf("zone-%d", from), fmt.Sprintf("zone-%d", to)}] = true
				if !oneWay {
					f.cut[[2]string{fmt.Sprintf("zone-%d", to), fmt.Sprintf("zone-%d", from)}] = true
				}
			}
		}
	}
}

// disturb restarts or pauses a node, or asks for votes.
func (f *fleet) disturb(choose chooser) error {
	n := f.nodes[choose("node", len(f.nodes))]
	switch action := choose("action", 8); {
	case !n.up || action == 0:
		f.kill(n, false)
		f.start(n)
	case action == 1:
		n.pausedUntil = f.now + time.Duration(choose("pause", 6_000))*time.Millisecond
	case action == 2:
		f.unreachable(n, f.nodes[choose("other", len(f.nodes))])
	case action == 3 && f.faults.twoCurrent:
		for _, epoch := range n.table.epochs {
			if epoch.phase == phaseDraining {
				epoch.phase = phaseCurrent
			}
		}
	case f.now >= n.pausedUntil:
		if epochs := f.witnessed(); len(epochs) > 0 {
			return f.collect(n, epochs[len(epochs)-1-choose("epoch", min(len(epochs), 4))])
		}
	}
	return nil
}

// count counts the bytes of a message if they are to be counted.
func (f *fleet) count(m message) {
	if f.bytes == nil {
		return
	}
	var data []byte
	var err error
	if m.heartbeat != nil {
		data, err = json.Marshal(m.heartbeat)
	} else {
		data, err = json.Marshal(m.reply)
	}
	if err != nil {
		panic(err)
	}
	f.bytes[f.node(m.from.Instance)] += len(data)
	f.bytes[f.node(m.to.Instance)] += len(data)
}

// measureHeal ends all faults and measures the time until the views agree, and
// the traffic meanwhile and for at least ten seconds.
func (f *fleet) measureHeal(limit time.Duration) (healing, error) {
	for _, n := range f.nodes {
		n.table.SetPayload(make([]byte, heartbeatPayload))
	}
	f.mend()
	var traffic traffic
	for began := f.now; f.now-began < limit && (traffic.agreed == 0 || len(traffic.seconds) < traffic.window()); {
		f.bytes = map[*node]int{}
		if err := f.run(time.Second); err != nil {
			return traffic.healing, err
		}
		bytes := map[string]int{}
		for n, sum := range f.bytes {
			bytes[n.incarnation.Instance] = sum
		}
		traffic.add(bytes)
		if traffic.agreed == 0 && f.converged() == nil {
			traffic.agreed = f.now - began
		}
	}
	return traffic.healing, nil
}

// currentEpochs returns the number of epochs for which keys may be issued.
func (t *Table) currentEpochs() int {
	count := 0
	for _, epoch := range t.epochs {
		if epoch.phase == phaseCurrent {
			count++
		}
	}
	return count
}
