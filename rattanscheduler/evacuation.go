package rattanscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// evacuationRetryAfter is the suggested retry delay of a job that is refused
	// because the zone is evacuated. Other zones may have room by then.
	evacuationRetryAfter = 2 * time.Second
	// maxLeaveTime is how long a job that may have started waits for the proof that
	// its runs are gone before it is ended without being redirected. A stop and the
	// listing after it take two round trips.
	maxLeaveTime = 600 * time.Millisecond
	// listedStartTime is how long other instances may still list a start request that
	// was answered or dropped: lists follow each other after 50 ms, those to another
	// zone after at least 20 ms. Until then, another zone would send the job back.
	listedStartTime = 100 * time.Millisecond
	// remoteZonesTime is how long after a takeover jobs wait until the room in other
	// zones is known. The home learns of it with its first heartbeats, after 150 ms.
	remoteZonesTime = 250 * time.Millisecond
)

// ReasonEvacuated is the reason for the end of a job of an evacuated zone.
const ReasonEvacuated = "zone is evacuated"

// SetEvacuation sets whether tasks may start in the zone. It answers an operator's
// request to empty a zone: jobs that would have to start a task are redirected, refused
// or ended at once, and runs that are under way may end. While the status is unknown,
// no task starts, and jobs wait.
func (s *Scheduler) SetEvacuation(status rattanwork.EvacuationStatus, now time.Time) {
	if status == s.evacuation {
		return
	}
	s.evacuation = status
	if status == rattanwork.EvacuationNone {
		for _, j := range s.jobs {
			j.leaveUntil = time.Time{}
		}
	}
	s.endEvacuated(now)
	s.schedule(now)
}

// Evacuation returns the status that was set last.
func (s *Scheduler) Evacuation() rattanwork.EvacuationStatus {
	return s.evacuation
}

// startsBlocked reports whether no task may start for the time being.
func (s *Scheduler) startsBlocked() bool {
	return s.held || s.evacuation != rattanwork.EvacuationNone
}

// endEvacuated ends the jobs that cannot continue in an evacuated zone, urgent ones
// first. It runs in each tick, so that running jobs cost little, and what applies to all
// jobs is found out once: that takes a look at all targets.
func (s *Scheduler) endEvacuated(now time.Time) {
	if s.evacuation != rattanwork.EvacuationActive || len(s.jobs) == 0 || s.awaitsRemoteZones(now) || s.awaitsListings(now) {
		return
	}
	reconciling := s.reconciling(now)
	var jobs []*job
	for _, j := range s.jobs {
		if j.hasWaitingTask() && !(j.submission.Resumed && reconciling) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submission.Priority, b.submission.Priority), a.submittedAt.Compare(b.submittedAt),
			cmp.Compare(a.submission.Job.ID, b.submission.Job.ID))
	})
	for _, j := range jobs {
		if !s.awaitsEarlierHome(j, now) {
			s.endBlocked(j, now)
		}
	}
}

// endIfEvacuated ends a job that cannot continue because the zone is evacuated. A job
// of which all remaining tasks are running continues. One that an earlier home may have
// started is decided on once that is known.
func (s *Scheduler) endIfEvacuated(j *job, now time.Time) {
	if s.evacuation == rattanwork.EvacuationActive && j.hasWaitingTask() && !s.awaitsRemoteZones(now) && !s.awaitsReconciliation(j, now) {
		s.endBlocked(j, now)
	}
}

// awaitsRemoteZones reports whether this home has just taken over and does not know yet
// to which zones it can redirect jobs.
func (s *Scheduler) awaitsRemoteZones(now time.Time) bool {
	return !s.remoteZonesKnown && now.Sub(s.config.TakeoverTime) < remoteZonesTime
}

// endBlocked ends a job of which a task would have to start.
func (s *Scheduler) endBlocked(j *job, now time.Time) {
	switch {
	case j.outcome != Open:
	case j.mayHaveStarted():
		s.leave(j, now)
	case !now.Before(j.listedUntil) || s.bestRemoteZone(j, now) < 0:
		s.endJob(j, Refused, ReasonEvacuated, evacuationRetryAfter, now)
	}
}

// hasWaitingTask reports whether some task of the job waits, also for an earlier step.
func (j *job) hasWaitingTask() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == taskWaiting })
}

// leave stops the runs of a job that may have started and redirects the job once they
// are proven gone. If there is no room elsewhere or no proof in time, the job ends
// without a result. So does a job that had a start without an answer in the last
// LateStartBound: heartbeats may have named it, and other zones would send the job back.
func (s *Scheduler) leave(j *job, now time.Time) {
	if j.leaveUntil.IsZero() {
		j.leaveUntil = now.Add(maxLeaveTime)
	}
	zone := s.zoneToLeaveFor(j, now)
	if zone < 0 || !now.Before(j.leaveUntil) || now.Before(j.unansweredUntil) || slices.ContainsFunc(j.tasks, s.bound) {
		s.endJob(j, Expired, ReasonEvacuated, 0, now)
		return
	}
	gone := true
	for _, t := range j.tasks {
		for _, r := range [...]*run{t.run, t.slowRun} {
			if r != nil && r.state != runStopping {
				r.state = runStopping
				s.requestStop(r, now)
			}
		}
		gone = gone && s.activeRuns[t.name] == 0
	}
	if !gone || now.Before(j.listedUntil) {
		return
	}
	end := ending{outcome: Redirected, reason: ReasonEvacuated, zone: s.reserveZone(j, zone, now), mayHaveStarted: true, moved: true}
	s.finishJob(j, end, now)
}

// StartDropped records that a start request was not sent, because no task may start any
// more. The task waits again, as if the request had not been decided on.
func (s *Scheduler) StartDropped(targetID, taskName string, attempt int, now time.Time) {
	target, ok := s.targets[targetID]
	if !ok {
		return
	}
	r, ok := target.runs[runKey{taskName, attempt}]
	if !ok {
		// The request had become void before it was sent.
		s.settleStart(taskName, targetID, attempt)
		s.advanceWaitingTask(taskName, now)
		return
	}
	s.removeRun(r)
	if t := r.task; t != nil && t.hasRun(r) {
		j := t.job
		j.recordEnd(r, "NotSent", now)
		j.runCount--
		j.listUntil(now.Add(listedStartTime))
		t.clearRun(r)
		if t.run == nil {
			t.state = taskWaiting
		}
		s.advanceJob(j, now)
	} else {
		s.advanceWaitingTask(taskName, now)
	}
	s.schedule(now)
}

// recordAnswer records the answer to a start request of the job, which is listed no longer
// after that, or that there is none.
func (j *job) recordAnswer(result rattanwork.StartResult, now time.Time) {
	if result == rattanwork.StartUnknown {
		j.unansweredUntil = now.Add(LateStartBound)
		return
	}
	j.listUntil(now.Add(listedStartTime))
}

// listUntil records until when other instances may list a start request of the job.
func (j *job) listUntil(until time.Time) {
	j.listedUntil = later(j.listedUntil, until)
}
