package rattanzone

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// computationBytes is the amount of data that is hashed to measure the speed
	// of the processor, a fraction of a millisecond of work.
	computationBytes = 512 << 10
	// computationRuns is how often the computation is timed; the shortest time
	// counts, since other goroutines may interrupt it.
	computationRuns = 3
	// slowFactor is the multiple of the shortest time ever from which on the
	// machine counts as slow, normalFactor the one below which it no longer
	// does.
	slowFactor   = 2.5
	normalFactor = 1.5
	// slowChecks is the number of checks in a row that must find the machine
	// slow.
	slowChecks = 2
	// speedCheckInterval is the interval of checks while the machine is slow.
	speedCheckInterval = time.Second
	// calibrationInterval is the interval of measurements while the machine is
	// not known to be slow and its home is not overloaded. A single one at the
	// start may be far too long, because all processes start at that time.
	calibrationInterval = 5 * time.Second
)

// speedMonitor finds out whether the machine computes much slower than it did
// at other times, for example because it is throttled. A home that is slow
// answers heartbeats, so that nobody replaces it, but delays all jobs.
type speedMonitor struct {
	// compute returns the time of a fixed computation.
	compute  func() time.Duration
	shortest time.Duration
	// factor is the last time in multiples of the shortest one.
	factor     float64
	slowChecks int
	slow       bool
	checkedAt  time.Time
}

// newSpeedMonitor returns a monitor that measures the speed of the processor.
func newSpeedMonitor(clock func() time.Time) *speedMonitor {
	data := make([]byte, computationBytes)
	return &speedMonitor{compute: func() time.Duration {
		startedAt := clock()
		xxhash.Sum64(data)
		return clock().Sub(startedAt)
	}}
}

// calibrate measures the speed at calibrationInterval, only to learn the shortest
// time.
func (m *speedMonitor) calibrate(now time.Time) {
	if now.Sub(m.checkedAt) >= calibrationInterval {
		m.measure(now)
	}
}

// measure times the computation.
func (m *speedMonitor) measure(now time.Time) {
	m.checkedAt = now
	elapsed := m.compute()
	for range computationRuns - 1 {
		elapsed = min(elapsed, m.compute())
	}
	elapsed = max(elapsed, 1)
	if m.shortest == 0 || elapsed < m.shortest {
		m.shortest = elapsed
	}
	m.factor = float64(elapsed) / float64(m.shortest)
}

// check measures the speed and reports whether the machine is slow.
func (m *speedMonitor) check(now time.Time) bool {
	m.measure(now)
	switch {
	case m.factor >= slowFactor:
		m.slowChecks++
		m.slow = m.slow || m.slowChecks >= slowChecks
	case m.factor < normalFactor:
		m.slowChecks = 0
		m.slow = false
	default:
		m.slowChecks = 0
	}
	return m.slow
}

// due reports whether to check a slow machine again.
func (m *speedMonitor) due(now time.Time) bool {
	return m.slow && now.Sub(m.checkedAt) >= speedCheckInterval
}

// checkSpeed measures the speed of the machine while it is known to be slow or
// the local home is overloaded, and hands the zone over if a member on another
// machine would serve it better.
func (a *Agent) checkSpeed(now time.Time) {
	localHome := a.LocalHome()
	overloaded := localHome != nil && localHome.Load().Overloaded
	if !overloaded && !a.speed.due(now) {
		a.speed.calibrate(now)
		return
	}
	wasSlow := a.speed.slow
	slow := a.speed.check(now)
	a.mutex.Lock()
	a.slow = slow
	a.mutex.Unlock()
	if slow != wasSlow {
		a.config.Journal.SpeedChanged(slow, a.speed.factor)
	}
	if slow && localHome != nil {
		a.handOverFromSlowMachine(a.speed.factor)
	}
}

// handOverFromSlowMachine hands the zone over to the first member whose machine
// is more powerful than this one is now.
func (a *Agent) handOverFromSlowMachine(factor float64) {
	for _, successor := range a.successors() {
		if float64(successor.MilliCPU) < normalFactor*float64(a.config.Self.MilliCPU)/factor {
			continue
		}
		if a.handOver(a.ctx, successor) == nil {
			return
		}
	}
}
