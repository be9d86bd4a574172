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
// alive and agrees on the owner with an epoch for every zone.
func (s *startupCluster) viewsAgree() bool {
	for _, node := range s.nodes {
		for _, other := range s.nodes {
			member, found := node.table.Member(s.now, other.config.Self.Incarnation.Instance)
			if !found || member.Incarnation != other.config.Self.Incarnation || member.Status != StatusAlive {
				return false
			}
		}
	}
	return s.ownersAgree()
}

const (
	partitionRuns = 12
	// maxControlBytesPerSecond is the target for a node's control traffic, as a
	// mean over ten seconds.
	maxControlBytesPerSecond = 30_000
	maxTimeToAgreement       = 60 * time.Second
	// heartbeatPayloadSize is about the size of the payloads that the other
	// packages send.
	heartbeatPayloadSize = 128
)

// healResult holds the maximum of the bytes that a member sent and received in
// one second and as a mean over ten, and the time until all views agreed.
type healResult struct {
	maxBytesPerSecond, maxMeanBytesPerSecond int
	timeToAgreement                          time.Duration
}

// partition cuts the first two zones off from the others for a time, in one
// direction only if oneWay is set, and restarts a member every ten seconds.
func (s *startupCluster) partition(duration time.Duration, oneWay bool) {
	remote := func(n *startupNode) bool {
		return n.config.Self.AvailabilityZone != s.zone(0) && n.config.Self.AvailabilityZone != s.zone(1)
	}
	s.messagesLost = func(from, to *startupNode) bool {
		return remote(from) && !remote(to) || !oneWay && !remote(from) && remote(to)
	}
	for end, restartAt := s.now.Add(duration), s.now; s.now.Before(end); s.tick() {
		if !s.now.Before(restartAt) {
			s.restart(s.nodes[s.random.IntN(len(s.nodes))])
			restartAt = restartAt.Add(10 * time.Second)
		}
	}
	s.messagesLost = func(*startupNode, *startupNode) bool { return false }
}

// restart replaces a member by its next incarnation.
func (s *startupCluster) restart(node *startupNode) {
	node.config.Self.Incarnation.Number = uint64(s.now.UnixMilli())
	node.table = New(s.now, node.config)
}

// trafficRecorder records the bytes of each member per second.
type trafficRecorder struct {
	healResult
	bytesBySecond []map[string]int
}

// window returns the number of seconds over which the mean is taken.
func (t *trafficRecorder) window() int { return 10 }

// add records the bytes of one second by member.
func (t *trafficRecorder) add(bytes map[string]int) {
	t.bytesBySecond = append(t.bytesBySecond, bytes)
	for name, last := range bytes {
		t.maxBytesPerSecond = max(t.maxBytesPerSecond, last)
		if len(t.bytesBySecond) < t.window() {
			continue
		}
		sum := 0
		for _, earlier := range t.bytesBySecond[len(t.bytesBySecond)-t.window():] {
			sum += earlier[name]
		}
		t.maxMeanBytesPerSecond = max(t.maxMeanBytesPerSecond, sum/t.window())
	}
}

// measureHeal measures the time after a partition until the views agree, up to
// limit, and the traffic during that time and for at least ten seconds.
func (s *startupCluster) measureHeal(limit time.Duration) healResult {
	var recorder trafficRecorder
	for startedAt := s.now; s.now.Sub(startedAt) < limit && (recorder.timeToAgreement == 0 || len(recorder.bytesBySecond) < recorder.window()); {
		s.bytes = map[string]int{}
		for range 20 {
			s.tick()
		}
		recorder.add(s.bytes)
		if recorder.timeToAgreement == 0 && s.viewsAgree() {
			recorder.timeToAgreement = s.now.Sub(startedAt)
		}
	}
	s.bytes = nil
	return recorder.healResult
}

// BenchmarkHeal measures the traffic of the busiest member after a partition of
// three minutes, and the time until all views agree.
func BenchmarkHeal(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{9, 3}, {30, 5}, {100, 5}, {300, 5}} {
		for _, oneWay := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/one-way=%v", size.members, oneWay), func(b *testing.B) {
				var maxResult healResult
				runs := 0
				for b.Loop() {
					s := newStartupCluster(uint64(runs), startCase{size: size.members, zones: size.zones, seeds: 3})
					for range 20 * 60 {
						s.tick()
					}
					for _, node := range s.nodes {
						node.table.SetPayload(make([]byte, heartbeatPayloadSize))
					}
					s.partition(3*time.Minute, oneWay)
					result := s.measureHeal(5 * time.Minute)
					maxResult.maxBytesPerSecond = max(maxResult.maxBytesPerSecond, result.maxBytesPerSecond)
					maxResult.maxMeanBytesPerSecond = max(maxResult.maxMeanBytesPerSecond, result.maxMeanBytesPerSecond)
					maxResult.timeToAgreement = max(maxResult.timeToAgreement, result.timeToAgreement)
					runs++
				}
				b.ReportMetric(float64(maxResult.maxBytesPerSecond), "max-B/member-s")
				b.ReportMetric(float64(maxResult.maxMeanBytesPerSecond), "max-B/member-s-over-10s")
				b.ReportMetric(maxResult.timeToAgreement.Seconds(), "max-s-to-agreement")
			})
		}
	}
}

// TestPartitions guards against two current epochs of a home, an epoch that is
// valid after it ended, views that do not converge, and excessive traffic after
// a partition. It runs random partitions between zones and regions, in one or
// both directions, with restarts meanwhile.
func TestPartitions(t *testing.T) {
	for seed := range uint64(partitionRuns) {
		c, err := runPartitions(uniformChoice(seed), faults{})
		qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		if err == nil {
			var result healResult
			result, err = c.measureHeal(maxTimeToAgreement)
			qt.Check(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
			qt.Check(t, result.timeToAgreement > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
			qt.Check(t, result.maxMeanBytesPerSecond <= maxControlBytesPerSecond, qt.IsTrue, qt.Commentf("seed %d: %d B/s", seed, result.maxMeanBytesPerSecond))
			t.Logf("seed %d: %d members agree after %v, %d B/s over 10 s, %d B in a second", seed, len(c.nodes), result.timeToAgreement, result.maxMeanBytesPerSecond, result.maxBytesPerSecond)
		}
	}
}

// TestPartitionsInjectedFaults guards against checks of TestPartitions that
// cannot fail.
func TestPartitionsInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults faults
		failed func(err error, result healResult) bool
	}{
		{"two current epochs", faults{twoCurrent: true}, func(err error, _ healResult) bool { return errors.Is(err, errTwoCurrentEpochs) }},
		{"negative margin", faults{config: func(c *Config) { c.VerdictMargin = -1100 * time.Millisecond }}, func(err error, _ healResult) bool {
			return errors.Is(err, errValidAfterEnd)
		}},
		{"partition does not heal", faults{keepPartition: true}, func(err error, result healResult) bool { return err == nil && result.timeToAgreement == 0 }},
		{"short intervals", faults{config: func(c *Config) { c.HeartbeatInterval, c.GossipInterval = 50*time.Millisecond, 100*time.Millisecond }}, func(err error, result healResult) bool {
			return err == nil && result.maxMeanBytesPerSecond > maxControlBytesPerSecond
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 100 && !found; seed++ {
				c, err := runPartitions(uniformChoice(seed), test.faults)
				var result healResult
				if err == nil {
					result, err = c.measureHeal(10 * time.Second)
				}
				found = test.failed(err, result)
			}
			qt.Check(t, found, qt.IsTrue)
		})
	}
}

// runPartitions runs a cluster in two regions of two zones each through
// partitions of some minutes between zones or regions, with restarts, pauses
// and votes meanwhile.
func runPartitions(choose chooseFunc, injectedFaults faults) (*testCluster, error) {
	c := newTestCluster(uint64(choose("seed", 1<<30)), 6+choose("size", 7), 4, injectedFaults)
	if err := c.run(10 * time.Second); err != nil {
		return c, err
	}
	for range 1 + choose("cuts", 3) {
		c.partition(choose)
		for end := c.now + time.Duration(30+choose("duration", 180))*time.Second; c.now < end; {
			if err := c.run(time.Duration(500+choose("elapsed", 5_000)) * time.Millisecond); err != nil {
				return c, err
			}
			if err := c.injectFault(choose); err != nil {
				return c, err
			}
		}
		c.lostPairs = nil
		if err := c.run(time.Duration(choose("pause", 20)) * time.Second); err != nil {
			return c, err
		}
	}
	// The last partition is still in effect when the recovery is measured.
	c.partition(choose)
	return c, c.run(time.Minute)
}

// partition cuts one zone off from another, or one region from the other, in
// one direction or both.
func (c *testCluster) partition(choose chooseFunc) {
	firstZone, secondZone := choose("a", 4), choose("b", 4)
	cutRegion, oneWay := choose("region", 2) == 0, choose("oneway", 2) == 0
	c.lostPairs = map[[2]string]bool{}
	for from := range 4 {
		for to := range 4 {
			betweenZones := from == firstZone && to == secondZone && firstZone != secondZone
			betweenRegions := from/2 == firstZone/2 && to/2 != firstZone/2
			if cutRegion && betweenRegions || !cutRegion && betweenZones {
				c.lostPairs[[2]string{fmt.Sprintf("zone-%d", from), fmt.Sprintf("zone-%d", to)}] = true
				if !oneWay {
					c.lostPairs[[2]string{fmt.Sprintf("zone-%d", to), fmt.Sprintf("zone-%d", from)}] = true
				}
			}
		}
	}
}

// injectFault restarts or pauses a node, reports it unreachable, or collects
// votes.
func (c *testCluster) injectFault(choose chooseFunc) error {
	n := c.nodes[choose("node", len(c.nodes))]
	switch action := choose("action", 8); {
	case !n.running || action == 0:
		c.kill(n, false)
		c.start(n)
	case action == 1:
		n.pausedUntil = c.now + time.Duration(choose("pause", 6_000))*time.Millisecond
	case action == 2:
		c.reportUnreachable(n, c.nodes[choose("other", len(c.nodes))])
	case action == 3 && c.faults.twoCurrent:
		for _, epoch := range n.table.epochs {
			if epoch.phase == phaseDraining {
				epoch.phase = phaseCurrent
			}
		}
	case c.now >= n.pausedUntil:
		if epochs := c.undecidedEpochs(); len(epochs) > 0 {
			return c.collectVotes(n, epochs[len(epochs)-1-choose("epoch", min(len(epochs), 4))])
		}
	}
	return nil
}

// countBytes adds the encoded size of a message to its sender and receiver if
// bytes is set.
func (c *testCluster) countBytes(m message) {
	if c.bytes == nil {
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
	c.bytes[c.node(m.from.Instance)] += len(data)
	c.bytes[c.node(m.to.Instance)] += len(data)
}

// measureHeal ends all faults and measures the time until the views agree, and
// the traffic during that time and for at least ten seconds.
func (c *testCluster) measureHeal(limit time.Duration) (healResult, error) {
	for _, n := range c.nodes {
		n.table.SetPayload(make([]byte, heartbeatPayloadSize))
	}
	c.clearFaults()
	var recorder trafficRecorder
	for startedAt := c.now; c.now-startedAt < limit && (recorder.timeToAgreement == 0 || len(recorder.bytesBySecond) < recorder.window()); {
		c.bytes = map[*node]int{}
		if err := c.run(time.Second); err != nil {
			return recorder.healResult, err
		}
		bytes := map[string]int{}
		for n, sum := range c.bytes {
			bytes[n.incarnation.Instance] = sum
		}
		recorder.add(bytes)
		if recorder.timeToAgreement == 0 && c.checkConverged() == nil {
			recorder.timeToAgreement = c.now - startedAt
		}
	}
	return recorder.healResult, nil
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
