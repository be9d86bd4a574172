package rattanscheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// redirectDelay is how long a job waits for resources in its own zone
	// before it may be redirected. A redirect itself costs a few milliseconds.
	redirectDelay = 6 * time.Millisecond
	// redirectHeadroom is the number of copies of a waiting job for which
	// another zone must have free capacity before the job is redirected there:
	// the capacity is known with a delay, and other zones redirect jobs there
	// too. If the job would otherwise be refused, one copy is enough.
	redirectHeadroom = 2
)

// redirection is a job that may run in another zone.
type redirection struct {
	zone string
	// until is when the leases of the job's runs in the zone have ended after its
	// caller stopped waiting, or the starts in the zone are over.
	until time.Time
	// startedThere is set if that zone has told of a start.
	startedThere bool
	// moved is set if the job had started here before it was redirected.
	moved bool
}

// redirectAgain redirects a job that was redirected before to the same zone,
// where it may still run: its caller submits it again if the answer was lost or
// its instance was. It reports whether the job was redirected.
func (s *Scheduler) redirectAgain(submission Submission, now time.Time) bool {
	if !s.Redirects(submission, now) {
		delete(s.redirectedJobs, submission.Job.ID)
		return false
	}
	earlier := s.redirectedJobs[submission.Job.ID]
	s.output.Results = append(s.output.Results, JobResult{
		JobID:          submission.Job.ID,
		Outcome:        Redirected,
		Zone:           earlier.zone,
		MayHaveStarted: true,
		Reason:         "redirected before",
		Tasks:          submission.Job.Tasks(),
		Estimate:       submission.Job.CriticalPath(),
	})
	return true
}

// leaveToZone redirects a job that has not started here to a zone that has told of a
// start, and reports whether it has.
func (s *Scheduler) leaveToZone(jobID, zone string, now time.Time) bool {
	j := s.jobs[jobID]
	if j.runCount > 0 || slices.ContainsFunc(j.tasks, s.mayHaveRun) {
		return false
	}
	s.finishJob(j, ending{outcome: Redirected, zone: zone, mayHaveStarted: true, reason: "started elsewhere"}, now)
	return true
}

// mayHaveRun reports whether a task has a run here, or may have had one.
func (s *Scheduler) mayHaveRun(t *task) bool {
	return t.state != taskWaiting || s.mayHaveStarted(t.name)
}

// Redirects reports whether a job is redirected to the zone where it may run. One that
// may have started and was redirected here is not sent back, unless that zone has told
// of a start or the job had started here: each of two zones may have redirected it to
// the other one.
func (s *Scheduler) Redirects(submission Submission, now time.Time) bool {
	earlier, ok := s.redirectedJobs[submission.Job.ID]
	return ok && now.Before(earlier.until) && (earlier.startedThere || earlier.moved || !submission.Resumed || !submission.Redirected)
}

// removeRedirections forgets the jobs whose callers no longer wait.
func (s *Scheduler) removeRedirections(now time.Time) {
	maps.DeleteFunc(s.redirectedJobs, func(_ string, entry redirection) bool { return now.After(entry.until) })
}

// SetRemoteZones replaces the known free capacity of the other zones.
func (s *Scheduler) SetRemoteZones(zones []RemoteZone) {
	s.remoteZones = slices.Clone(zones)
}

// redirect redirects jobs that have not started to zones with free capacity.
func (s *Scheduler) redirect(now time.Time) {
	if s.evacuation != rattanwork.EvacuationNone || !s.mayRedirect() {
		return
	}
	for _, j := range s.waitingJobs() {
		if j.mayHaveStarted() || s.awaitsReconciliation(j, now) || now.Sub(j.submittedAt) < redirectDelay {
			continue
		}
		if s.bestRemoteZone(j, redirectHeadroom) >= 0 {
			s.endJob(j, Refused, "another zone has room", 0, now)
		}
	}
}

// mayRedirect reports whether another zone has room for any waiting job.
func (s *Scheduler) mayRedirect() bool {
	least := math.MaxInt / redirectHeadroom
	for _, state := range s.services {
		least = min(least, state.queue.minMilliCPU())
	}
	return slices.ContainsFunc(s.remoteZones, func(zone RemoteZone) bool {
		return zone.FreeMilliCPU >= redirectHeadroom*least
	})
}

// reserveRemoteZone reserves capacity for a job in another zone and returns the
// zone, or "" if the job may not be redirected or fits into no zone.
func (s *Scheduler) reserveRemoteZone(j *job) string {
	best := s.bestRemoteZone(j, 1)
	if best < 0 {
		return ""
	}
	return s.reserveZone(j, best)
}

// reserveZone reserves capacity for a job in the zone with the index and returns the
// zone.
func (s *Scheduler) reserveZone(j *job, index int) string {
	s.remoteZones[index].FreeMilliCPU -= j.readyMilliCPU()
	return s.remoteZones[index].Zone
}

// zoneToLeaveFor returns the index of the zone to which a job that has started here is
// redirected, or -1 if there is none.
func (s *Scheduler) zoneToLeaveFor(j *job) int {
	if !j.submission.Redirectable && !j.submission.Resumed && !j.submission.Redirected {
		return -1
	}
	return s.roomiestZone(j, 1)
}

// bestRemoteZone returns the index of the zone with the most free capacity, or
// -1 if the job may not be redirected or the zone does not have room for the
// given number of copies of the job.
func (s *Scheduler) bestRemoteZone(j *job, copies int) int {
	if !j.submission.Redirectable || j.mayHaveStarted() {
		return -1
	}
	return s.roomiestZone(j, copies)
}

// roomiestZone returns the index of the zone with the most free capacity, or -1 if that
// has no room for the given number of copies of the job.
func (s *Scheduler) roomiestZone(j *job, copies int) int {
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

// readyMilliCPU returns the total processor demand of the job's ready tasks.
func (j *job) readyMilliCPU() int {
	sum := 0
	for _, t := range j.ready {
		sum += t.resources().MilliCPU
	}
	return sum
}
