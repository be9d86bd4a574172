package rattanhome

import "time"

const (
	// lagHalfLife is the time in which a measured lag loses half of its weight.
	lagHalfLife = 100 * time.Millisecond
	// maxLag bounds a measured lag, so that a pause of the whole process does
	// not count for long after it.
	maxLag = 250 * time.Millisecond
	// standingWindow is how long a lag must last to count as standing.
	standingWindow = 80 * time.Millisecond
	// minShedLag is the standing lag from which on a home refuses a part of the new
	// jobs; the part grows up to maxShedShare at fullShedLag. A job meets the
	// lag about four times: at its submission, at the answers to its starts, at
	// the listing of its end and at its own answer.
	minShedLag   = 20 * time.Millisecond
	fullShedLag  = 80 * time.Millisecond
	maxShedShare = 0.95
	// shedRetryAfter is the suggested retry delay of a refused job.
	shedRetryAfter = time.Second
)

// lagMeter estimates how late the home handles events because it lacks
// processor time.
type lagMeter struct {
	value      time.Duration
	observedAt time.Time
	// windowStart is the start of the present window, windowMin the least lag
	// observed in it and previousMin that of the window before.
	windowStart time.Time
	windowMin   time.Duration
	previousMin time.Duration
}

// observe records that an event was handled by the given time too late.
func (m *lagMeter) observe(lateness time.Duration, now time.Time) {
	lateness = min(lateness, maxLag)
	m.value = max(m.current(now), lateness)
	m.observedAt = now
	if now.Sub(m.windowStart) < standingWindow {
		m.windowMin = min(m.windowMin, lateness)
		return
	}
	m.previousMin = m.windowMin
	if now.Sub(m.windowStart) >= 2*standingWindow {
		m.previousMin = 0
	}
	m.windowStart = now
	m.windowMin = lateness
}

// standing returns the lag that has not gone away for at least one window. A
// garbage collection or a burst that is worked off does not count, as in the
// queue management of CoDel (RFC 8289).
func (m *lagMeter) standing(now time.Time) time.Duration {
	if now.Sub(m.windowStart) >= 2*standingWindow {
		return 0
	}
	return min(m.previousMin, m.windowMin)
}

// current returns the estimated lag of an event that is handled now.
func (m *lagMeter) current(now time.Time) time.Duration {
	halvings := now.Sub(m.observedAt) / lagHalfLife
	if halvings >= 16 {
		return 0
	}
	rest := float64(now.Sub(m.observedAt)%lagHalfLife) / float64(lagHalfLife)
	return time.Duration(float64(m.value>>halvings) * (1 - rest/2))
}

// shedder decides which new jobs a home refuses because it lacks processor
// time. It answers a load beyond what the home itself can handle: without it,
// each event waits for all earlier ones, requests to targets count as lost
// before their answers are read, and the work on them is wasted. Refusing a
// share spreads the refusals evenly over the callers.
type shedder struct {
	// credit is the sum of the shares since the last refusal.
	credit float64
}

// sheds reports whether to refuse the next new job, which has so many tasks. A job of more
// than smallJobTasks counts as several jobs of that size, and is refused if one of those
// would be.
func (s *shedder) sheds(lag time.Duration, tasks int) bool {
	share := float64(lag-minShedLag) / float64(fullShedLag-minShedLag)
	share = min(max(share, 0), maxShedShare)
	if tasks > smallJobTasks {
		return share*float64(tasks)/smallJobTasks >= 1
	}
	s.credit += share
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
