package rattanscheduler

import (
	"slices"
	"time"
)

const (
	// redirectDelay is how long a job waits for room in its own zone before it
	// may go to another one; the way there costs a few milliseconds.
	redirectDelay = 6 * time.Millisecond
	// redirectHeadroom is how often a job must fit into another zone's room to
	// be sent there before it has to be refused: the room is known with a
	// delay, and other zones send work there as well.
	redirectHeadroom = 2
)

// SetRemoteZones takes in the room of other zones.
func (s *Scheduler) SetRemoteZones(zones []Elsewhere) {
	s.remoteZones = slices.Clone(zones)
}

// redirect sends jobs that have not begun to zones with room for them.
func (s *Scheduler) redirect(now time.Time) {
	for _, j := range append([]*job(nil), s.waiting...) {
		if j.mayHaveStarted() || now.Sub(j.submitted) < redirectDelay {
			continue
		}
		if s.bestRemoteZone(j, redirectHeadroom) >= 0 {
			s.endJob(j, Refused, "another zone has room", 0, now)
		}
	}
}

// reserveRemoteZone reserves room for a job in another zone and returns the zone, empty
// if the job must not move or no zone has room for all of it.
func (s *Scheduler) reserveRemoteZone(j *job) string {
	best := s.bestRemoteZone(j, 1)
	if best < 0 {
		return ""
	}
	s.remoteZones[best].FreeMilliCPU -= j.readyMilliCPU()
	return s.remoteZones[best].Zone
}

// bestRemoteZone returns the index of the zone with the most room if that holds
// the whole job so often, otherwise -1.
func (s *Scheduler) bestRemoteZone(j *job, copies int) int {
	if !j.submission.Redirectable || j.mayHaveStarted() {
		return -1
	}
	best := -1
	for i := range s.remoteZones {
		if best < 0 || s.remoteZones[i].FreeMilliCPU > s.remoteZones[best].FreeMilliCPU {
			best = i
		}
	}
	if best < 0 || s.remoteZones[best].FreeMilliCPU < copies*j.readyMilliCPU() {
		return -1
	}
	return best
}

// readyMilliCPU returns the processor room that the job's first tasks take together.
func (j *job) readyMilliCPU() int {
	sum := 0
	for _, t := range j.ready {
		sum += t.resources().MilliCPU
	}
	return sum
}
