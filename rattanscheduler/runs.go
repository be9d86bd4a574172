package rattanscheduler

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// stopRepeat is how long a stop may stay unanswered before it is sent
	// again.
	stopRepeat = 70 * time.Millisecond
	// refusalPause keeps a target that refused an order from the next ones.
	refusalPause = 250 * time.Millisecond
)

// start orders a run of a task.
func (s *Scheduler) start(t *task, on *target, now time.Time) {
	t.attempt++
	t.state = taskActive
	r := &run{target: on, name: t.name, attempt: t.attempt, need: t.need(), task: t, known: now}
	t.run = r
	s.add(r)
	on.take(r.need)
	j := t.job
	if j.runs == 0 {
		j.firstStart = now.Sub(j.submitted)
	}
	j.runs++
	j.wasStarted = true
	j.ordered(r, now)
	s.output.Starts = append(s.output.Starts, StartOrder{
		Target:     &on.info,
		Task:       t.name,
		Attempt:    t.attempt,
		Spec:       j.submission.Job.Spec,
		Checkpoint: t.checkpoint,
	})
}

// StartAnswered takes in a target's answer to the order to start a run. An
// order that was refused for its token was overtaken by a later one of the same
// home.
func (s *Scheduler) StartAnswered(targetID, name string, attempt int, result rattanwork.StartResult, now time.Time) {
	on, ok := s.targets[targetID]
	if !ok {
		return
	}
	r, ok := on.runs[runKey{name, attempt}]
	if !ok || (r.state != runOrdered && r.state != runStopping) {
		return
	}
	switch {
	case result == rattanwork.StartAccepted:
		r.confirmed = now
		if r.state == runOrdered {
			r.state = runConfirmed
		}
	case result == rattanwork.StartUnknown:
		if r.state == runOrdered {
			r.state = runUncertain
		}
	default:
		s.drop(r)
		if r.task != nil {
			r.task.job.ran(r, result.String(), now)
		}
		if result != rattanwork.StartFenced {
			s.suspend(on, refusalPause, result.String(), now)
		}
		s.requeue(r, now)
	}
	s.schedule(now)
}

// StopAnswered takes in that a target accepted the order to stop a run.
func (s *Scheduler) StopAnswered(targetID, name string, attempt int, now time.Time) {
	if on, ok := s.targets[targetID]; ok {
		if r, ok := on.runs[runKey{name, attempt}]; ok {
			r.stopAcked = now
		}
	}
}

// Settling reports whether a run waits for a list that tells whether it is
// there.
func (s *Scheduler) Settling(targetID string) bool {
	on, ok := s.targets[targetID]
	if !ok {
		return false
	}
	for _, r := range on.runs {
		if !r.stopAcked.IsZero() || r.state == runUncertain {
			return true
		}
	}
	return false
}

// Unanswered takes in that an order to list runs got no answer.
func (s *Scheduler) Unanswered(targetID string) {
	if on, ok := s.targets[targetID]; ok {
		on.unanswered = true
	}
}

// Silent takes in that a target does not answer. It takes no new work until it
// has listed its runs again. When its leases have certainly expired, its
// confirmed runs are lost and their tasks may start elsewhere.
func (s *Scheduler) Silent(targetID string, expired bool, now time.Time) {
	on, ok := s.targets[targetID]
	if !ok {
		return
	}
	on.silent = true
	if !expired {
		return
	}
	for _, r := range on.snapshot() {
		if r.state == runConfirmed || (r.state == runStopping && !r.confirmed.IsZero()) || r.orphan {
			s.drop(r)
			s.requeue(r, now)
			continue
		}
		// An order without an answer keeps its room, but its task need not
		// wait: the order's lease has expired too.
		s.detach(r, now)
	}
	s.schedule(now)
}

// Listed takes in a target's list of runs, asked for at sent. The target does
// nothing any more for orders from before void that it has not carried out.
func (s *Scheduler) Listed(targetID string, listing *rattanwork.Listing, sent, void, now time.Time) {
	on, ok := s.targets[targetID]
	if !ok {
		return
	}
	if on.born != listing.Incarnation {
		s.reborn(on, now)
		on.born = listing.Incarnation
	}
	on.silent = false
	for _, end := range listing.Ended {
		if end.Sequence > on.sequence {
			on.sequence = end.Sequence
			s.runEnded(on, end, now)
		}
	}
	running := make(map[runKey]bool, len(listing.Running))
	for _, row := range listing.Running {
		key := runKey{row.Task, row.Attempt}
		running[key] = true
		s.runListed(on, key, row, now)
	}
	for _, r := range on.snapshot() {
		if running[runKey{r.name, r.attempt}] {
			continue
		}
		if r.goneBy(sent, void) {
			s.drop(r)
			s.requeue(r, now)
		}
	}
	on.reconciled = true
	on.listed = now
	on.unanswered = false
	s.schedule(now)
}

// goneBy reports whether a run is gone for good that a list asked for at sent
// does not contain.
func (r *run) goneBy(sent, void time.Time) bool {
	switch {
	case r.orphan:
		return true
	case !r.confirmed.IsZero():
		return r.confirmed.Before(sent)
	case !r.stopAcked.IsZero() && r.stopAcked.Before(sent):
		return true
	default:
		return r.known.Before(void)
	}
}

// reborn drops what ran in the former life of a target. Orders without an
// answer may still arrive in the new one.
func (s *Scheduler) reborn(on *target, now time.Time) {
	first := on.born == 0 && on.sequence == 0
	on.sequence = 0
	if first {
		return
	}
	s.changed(on, TargetRestarted)
	for _, r := range on.snapshot() {
		if r.confirmed.IsZero() && !r.orphan {
			r.stopAcked = time.Time{}
			continue
		}
		s.drop(r)
		s.requeue(r, now)
	}
}

func (s *Scheduler) runListed(on *target, key runKey, row rattanwork.Run, now time.Time) {
	r, ok := on.runs[key]
	if !ok {
		r = &run{target: on, name: key.name, attempt: key.attempt, state: runConfirmed, known: now, confirmed: now, orphan: true}
		s.add(r)
		on.orphans++
		if t := s.waitingTask(key.name); t != nil {
			s.bind(r, t)
			s.advance(t.job, now)
			return
		}
		s.orphans[key.name] = r
		return
	}
	if r.confirmed.IsZero() {
		r.confirmed = now
	}
	if r.state == runOrdered || r.state == runUncertain {
		r.state = runConfirmed
	}
	if r.task == nil {
		return
	}
	if row.Checkpoint != "" {
		r.task.saved(row.Checkpoint)
	}
	s.progressed(r, row.Percent, now)
}

func (s *Scheduler) runEnded(on *target, end rattanwork.End, now time.Time) {
	r, ok := on.runs[runKey{end.Task, end.Attempt}]
	if !ok || (r.orphan && r.task == nil) {
		if end.Kind == rattanwork.EndDone {
			s.doneBefore(end.Task, now)
		}
		if ok {
			s.drop(r)
			s.freed(r.name, now)
		}
		return
	}
	s.drop(r)
	t := r.task
	if t == nil || !t.holds(r) {
		s.freed(r.name, now)
		return
	}
	t.job.ran(r, end.Kind.String(), now)
	if end.Checkpoint != "" && t.definition().SavesProgress {
		t.saved(end.Checkpoint)
	}
	switch end.Kind {
	case rattanwork.EndDone:
		s.taskDone(t, r, now)
	case rattanwork.EndFailed:
		s.taskFailed(t, r, now)
	default:
		s.requeue(r, now)
	}
}

// doneBefore takes in that a task ended under an earlier home.
func (s *Scheduler) doneBefore(name string, now time.Time) {
	t := s.waitingTask(name)
	if t == nil {
		s.ended[name] = now.Add(endedRetention)
		return
	}
	s.markDone(t)
	t.job.wasStarted = true
	s.advance(t.job, now)
}

// saved takes in a checkpoint, which holds for all tasks of a gang.
func (t *task) saved(checkpoint string) {
	for _, member := range t.group {
		member.checkpoint = checkpoint
	}
}

func (s *Scheduler) taskDone(t *task, r *run, now time.Time) {
	length, exact := r.length(now)
	if s.tooSlow(r, length) {
		s.suspectSlow(r, now)
	} else {
		r.target.health.succeeded()
	}
	if exact {
		s.rates.observe(t.job, t.step, r, length)
	}
	s.stopOthers(t, r, now)
	s.markDone(t)
	s.advance(t.job, now)
}

func (s *Scheduler) taskFailed(t *task, r *run, now time.Time) {
	t.failed(r.attempt)
	t.failedOn = r.target
	t.job.failures++
	s.suspend(r.target, r.target.health.failed(t.job), "failing", now)
	if t.failures >= t.job.submission.MaxAttempts {
		t.forget(r)
		s.end(t.job, Failed, "a task failed too often", 0, now)
		return
	}
	s.requeue(r, now)
}

// failed counts a failed attempt; the members of a gang fail together.
func (t *task) failed(attempt int) {
	for _, member := range t.group {
		if member.failedAttempt != attempt {
			member.failedAttempt = attempt
			member.failures++
		}
	}
}

// length returns how long a run that has ended took at least, and whether that
// is exact: when a list was lost, the run may have ended right after the one
// before it.
func (r *run) length(now time.Time) (length time.Duration, exact bool) {
	if !r.target.unanswered {
		return now.Sub(r.known), true
	}
	return max(0, r.target.listed.Sub(r.known)), false
}

// add takes in a run that may be under way.
func (s *Scheduler) add(r *run) {
	r.target.runs[runKey{r.name, r.attempt}] = r
	s.present[r.name]++
}

// absent takes in that a run is not under way any more.
func (s *Scheduler) absent(r *run) {
	if r.absent {
		return
	}
	r.absent = true
	s.present[r.name]--
	if s.present[r.name] <= 0 {
		delete(s.present, r.name)
	}
}

// drop forgets a run and frees its room.
func (s *Scheduler) drop(r *run) {
	delete(r.target.runs, runKey{r.name, r.attempt})
	s.absent(r)
	if !r.orphan || r.task != nil {
		r.target.release(r.need)
		return
	}
	r.target.orphans--
	if s.orphans[r.name] == r {
		delete(s.orphans, r.name)
	}
}

// requeue makes the task of a run that is gone wait again.
func (s *Scheduler) requeue(r *run, now time.Time) {
	t := r.task
	if t == nil || !t.holds(r) {
		s.freed(r.name, now)
		return
	}
	t.job.ran(r, "Lost", now)
	t.forget(r)
	t.avoid = r.target
	if t.run != nil {
		return
	}
	t.state = taskWaiting
	s.advance(t.job, now)
}

// freed lets a task start that waited for the end of an earlier run.
func (s *Scheduler) freed(name string, now time.Time) {
	if t := s.waitingTask(name); t != nil {
		s.advance(t.job, now)
	}
}

// detach lets the task of an uncertain run start elsewhere; the run keeps its
// room until it is settled.
func (s *Scheduler) detach(r *run, now time.Time) {
	s.absent(r)
	s.requeue(r, now)
	r.task = nil
	r.state = runStopping
}

// stopRuns ends the runs of a task that nobody needs any more.
func (s *Scheduler) stopRuns(t *task, now time.Time) {
	s.stopOthers(t, nil, now)
}

// stopOthers ends the runs of a task but the one.
func (s *Scheduler) stopOthers(t *task, but *run, now time.Time) {
	for _, r := range [...]*run{t.run, t.slowRun} {
		if r == nil || r == but {
			continue
		}
		s.unbind(r)
		r.state = runStopping
		s.orderStop(r, now)
	}
}

// unbind separates a run that goes on from its task.
func (s *Scheduler) unbind(r *run) {
	r.task.forget(r)
	r.task = nil
	r.orphan = false
}

// forget takes a run off the task; one beside it becomes the task's run.
func (t *task) forget(r *run) {
	switch r {
	case t.run:
		t.run = t.slowRun
		t.slowRun = nil
	case t.slowRun:
		t.slowRun = nil
	}
}

func (s *Scheduler) orderStop(r *run, now time.Time) {
	r.stopSent = now
	s.output.Stops = append(s.output.Stops, StopOrder{Target: &r.target.info, Task: r.name, Attempt: r.attempt})
}

// stopOrphans ends runs of an earlier home whose job nobody presents.
func (s *Scheduler) stopOrphans(now time.Time) {
	for _, r := range s.orphans {
		if r.state != runStopping && now.Sub(r.known) > orphanGrace {
			r.state = runStopping
			s.orderStop(r, now)
		}
	}
}

// repeatStops sends stops again that were not answered.
func (s *Scheduler) repeatStops(now time.Time) {
	for _, t := range s.targets {
		if t.silent {
			continue
		}
		for _, r := range t.runs {
			if !r.stopSent.IsZero() && r.stopAcked.IsZero() && now.Sub(r.stopSent) > stopRepeat {
				s.orderStop(r, now)
			}
		}
	}
}

func (t *target) snapshot() []*run {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	return runs
}
