package rattanzone

import "time"

// transitSamples is the number of messages after which the fastest one of the
// messages before them is forgotten, because the clocks of two machines drift.
const transitSamples = 16

// transitMeter tells when a message of another instance was sent, although it may
// have waited for seconds until this instance read it. The sender states its
// uptime, and the fastest of its last messages tells the difference between the
// clocks. If all of them were slow, the answers to requests of this instance tell
// how small that difference can be.
type transitMeter struct {
	// fastest is the least difference between this instance's uptime on arrival
	// and the sender's on sending, least the greatest difference between this
	// instance's uptime on sending a request and the sender's on answering it.
	fastest slidingExtreme
	least   slidingExtreme
}

// slidingExtreme is the minimum of the last samples: between transitSamples and
// twice as many.
type slidingExtreme struct {
	// current is the minimum of the current samples, previous that of the samples
	// before them.
	current  time.Duration
	previous time.Duration
	samples  int
	// complete is set once previous is known.
	complete bool
}

// add adds a sample.
func (e *slidingExtreme) add(sample time.Duration) {
	switch {
	case e.samples == transitSamples:
		e.previous, e.complete = e.current, true
		e.current, e.samples = sample, 0
	case e.samples == 0 || sample < e.current:
		e.current = sample
	}
	e.samples++
}

// minimum returns the minimum, and whether there are samples.
func (e *slidingExtreme) minimum() (time.Duration, bool) {
	if e.complete {
		return min(e.current, e.previous), true
	}
	return e.current, e.samples > 0
}

// observe records a message.
func (m *transitMeter) observe(difference time.Duration) {
	m.fastest.add(difference)
}

// bound records that the difference between the clocks is not smaller than this.
func (m *transitMeter) bound(difference time.Duration) {
	m.least.add(-difference)
}

// delay returns how much longer a message took than the fastest one, or can have
// taken, 0 if there was none before.
func (m *transitMeter) delay(difference time.Duration) time.Duration {
	clocks, known := m.fastest.minimum()
	if !known {
		return 0
	}
	if least, bounded := m.least.minimum(); bounded {
		clocks = min(clocks, -least)
	}
	return max(0, difference-clocks)
}
