package rattanscheduler

import (
	"slices"
	"time"
)

const (
	// redirectWait is how long a job waits for room in its own zone before it
	// may go to another one; the way there costs a few milliseconds.
	redirectWait = 6 * time.Millisecond
	// redirectReserve is how often a job must fit into another zone's room to
	// be sent there before it has to be refused: the room is known with a
	// delay, and other zones send work there as well.
	redirectReserve = 2
)

// SetElsewhere takes in the room of other zones.
func (s *Scheduler) SetElsewhere(list []RemoteZone) {
	s.elsewhere = slices.Clone(list)
}

// redirect sends jobs that have not begun to zones with room for them.
func (s *Scheduler) redirect(now time.Time) {
	for _, j := range append([]*job(nil), s.waiting...) {
		if j.started() || now.Sub(j.submitted) < redirectWait {
			continue
		}
		if s.bestElsewhere(j, redirectReserve) >= 0 {
			s.end(j, Refused, "another zone has room", 0, now)
		}
	}
}

// zoneFor reserves room for a job in another zone and returns the zone, empty
// if the job must not move or no zone has room for all of it.
func (s *Scheduler) zoneFor(j *job) string {
	best := s.bestElsewhere(j, 1)
	if best < 0 {
		return ""
	}
	s.elsewhere[best].FreeMilliCPU -= j.width()
	return s.elsewhere[best].Zone
}

// bestElsewhere returns the index of the zone with the most room if that holds
// the whole job so often, otherwise -1.
func (s *Scheduler) bestElsewhere(j *job, times int) int {
	if !j.submission.MayMove || j.started() {
		return -1
	}
	best := -1
	for i := range s.elsewhere {
		if best < 0 || s.elsewhere[i].FreeMilliCPU > s.elsewhere[best].FreeMilliCPU {
			best = i
		}
	}
	if best < 0 || s.elsewhere[best].FreeMilliCPU < times*j.width() {
		return -1
	}
	return best
}

// width returns the processor room that the job's first tasks take together.
func (j *job) width() int {
	sum := 0
	for _, t := range j.ready {
		sum += t.need().MilliCPU
	}
	return sum
}
