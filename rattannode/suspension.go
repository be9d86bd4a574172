package rattannode

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// clockReadTime is how long two readings of clocks take, unless the process was
	// interrupted in between. maxClockReadings is how often they are repeated then.
	clockReadTime    = time.Millisecond
	maxClockReadings = 3
	// suspensionReadInterval is the interval at which the clocks are read while the
	// time of day and the steady clock advance alike, within clockTolerance.
	suspensionReadInterval = 100 * time.Millisecond
	clockTolerance         = 10 * time.Millisecond
)

// suspensionMeter tells for how long the steady clock of this machine has stood still
// because the machine was suspended. A reading is a system call, so it reads again
// only when the time of day shows that it may have changed. It is safe for concurrent
// use.
type suspensionMeter struct {
	mutex     sync.Mutex
	suspended time.Duration
	// readAt is when the clocks were read, with the time of day and the steady time.
	readAt time.Time
}

// total returns for how long the steady clock has stood still at the present time.
func (m *suspensionMeter) total(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.readAt.IsZero() || outdated(now.Sub(m.readAt), now.Round(0).Sub(m.readAt.Round(0))) {
		m.suspended = readSuspension()
		m.readAt = now
	}
	return m.suspended
}

// outdated reports whether the machine may have been suspended since a reading, after
// which the two clocks have advanced by so much.
func outdated(steady, timeOfDay time.Duration) bool {
	return steady >= suspensionReadInterval || (timeOfDay-steady).Abs() > clockTolerance
}

// readSuspension reads for how long the steady clock has stood still.
func readSuspension() time.Duration {
	var suspended time.Duration
	for range maxClockReadings {
		before := readClock(unix.CLOCK_MONOTONIC)
		suspended = readClock(unix.CLOCK_BOOTTIME) - before
		if readClock(unix.CLOCK_MONOTONIC)-before <= clockReadTime {
			break
		}
	}
	return suspended
}

// readClock returns the time of a clock of the system, 0 if it has none.
func readClock(id int32) time.Duration {
	var reading unix.Timespec
	if unix.ClockGettime(id, &reading) != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}
