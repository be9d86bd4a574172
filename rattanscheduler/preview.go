package rattanscheduler

import (
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanwork"
)

//go:generate go tool stringer -linecomment -type=PreviewOutcome -output=preview_string.go

// PreviewOutcome is what would happen to a job that is submitted now.
type PreviewOutcome int

// Outcomes of a preview.
const (
	// PreviewUnknown is the outcome of a preview that tells nothing.
	PreviewUnknown PreviewOutcome = iota // Unknown
	// PreviewStarts means that at least one task would start at once.
	PreviewStarts // Starts
	// PreviewWaits means that the job would wait in this zone.
	PreviewWaits // Waits
	// PreviewRedirected means that the job would be redirected to another zone.
	PreviewRedirected // Redirected
	// PreviewRefused means that the job would be refused.
	PreviewRefused // Refused
	// PreviewJoins means that the job is in progress or may have started before, so that
	// the submission would continue it.
	PreviewJoins // Joins

	previewOutcomeCount
)

// MarshalText returns the name of the outcome.
func (o PreviewOutcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText reads the name of an outcome. Names of a later version mean
// PreviewUnknown.
func (o *PreviewOutcome) UnmarshalText(text []byte) error {
	*o, _ = rattanjson.ParseEnum(text, previewOutcomeCount)
	return nil
}

const (
	// maxPreviewedTasks bounds the number of tasks that a preview places one by one, so
	// that it does not delay the scheduling of a large zone.
	maxPreviewedTasks = 16
	// maxGangPlacements bounds the number of pairs of a task and a target that a preview
	// considers for a gang: 1,000 tasks and 8,700 targets took 355 ms.
	maxGangPlacements = 200_000
	// maxListedStarts bounds the number of starts that a preview lists.
	maxListedStarts = 8
)

// Preview is what would happen to a job that is submitted now, and what the decision is
// based on.
type Preview struct {
	Outcome PreviewOutcome
	Reason  string
	// Zone is where the job would be redirected to, After how long it would wait here
	// before that.
	Zone  string              `json:",omitempty"`
	After rattanjson.Duration `json:",omitempty"`
	// RetryAfter is the suggested retry delay if the job would be refused.
	RetryAfter rattanjson.Duration `json:",omitempty"`
	// Tasks is the number of the job's tasks, ReadyTasks that of those without a step
	// before them, StartingTasks that of those that would start at once. Of a large job,
	// only the first ones are counted as starting.
	Tasks         int
	ReadyTasks    int
	StartingTasks int
	// Starts lists the first starts.
	Starts []PlannedStart `json:",omitempty"`
	// WorkAhead is the expected processor time of the work that starts before the job,
	// in seconds of one core. ExpectedWait is for how long the job is expected to wait
	// because of it, Slack how long it may wait.
	WorkAhead    rattanjson.Duration
	ExpectedWait rattanjson.Duration
	Slack        rattanjson.Duration
	WaitingJobs  int
	WaitingTasks int
	Targets      TargetKnowledge
	// Zones lists the zones to which jobs may be redirected.
	Zones []ZoneKnowledge
}

// PlannedStart is the start of one task.
type PlannedStart struct {
	Task   string
	Target string
	// Reason tells why this target is chosen.
	Reason string
	// FreeMilliCPU is the free capacity of the target before the start.
	FreeMilliCPU     int
	CapacityMilliCPU int
}

// TargetKnowledge is what is known of the targets of a service.
type TargetKnowledge struct {
	Known  int
	Usable int
	// FreeMilliCPU is the free capacity of the usable targets, LargestMilliCPU that of
	// the target with the most.
	FreeMilliCPU    int
	LargestMilliCPU int
	// NewestListing and OldestListing are the ages of listings of the usable targets, nil
	// if there are none.
	NewestListing *rattanjson.Duration `json:",omitempty"`
	OldestListing *rattanjson.Duration `json:",omitempty"`
}

// ZoneKnowledge is what is known of the room in another zone.
type ZoneKnowledge struct {
	Zone         string
	FreeMilliCPU int
	// HasRoom is set if the tasks that start first fit there, ExpectedWait is that of a
	// new job.
	HasRoom      bool
	ExpectedWait rattanjson.Duration
	// Age is the age of the report, nil if it is not known.
	Age *rattanjson.Duration `json:",omitempty"`
}

// Preview returns what would happen to a new job. Only derived indexes of targets are
// brought up to date; no decision is made, and later ones are the same as without it.
// Not considered are the lease limits of callers and the share of jobs that a home
// without enough processor time refuses.
func (s *Scheduler) Preview(submission Submission, now time.Time) Preview {
	s.refreshTargets(now)
	j := newJob(submission, now)
	// The state of an unknown service is not kept.
	state := &serviceState{pool: newTargetPool()}
	if known, ok := s.services[submission.Service]; ok {
		state = known
	}
	preview := Preview{
		Tasks:        len(j.tasks),
		WaitingJobs:  state.queue.jobs,
		WaitingTasks: state.queue.tasks,
		Targets:      s.targetKnowledge(submission.Service, state.pool, now),
		Zones:        s.zoneKnowledge(j, now),
	}
	p := &previewer{scheduler: s, job: j, state: state, preview: &preview, now: now}
	p.decide()
	return preview
}

// previewer decides on a job without adding it to the scheduler.
type previewer struct {
	scheduler *Scheduler
	job       *job
	// state is that of the job's service.
	state   *serviceState
	preview *Preview
	now     time.Time
	// gangSkipped is set if a gang was not placed because that would take too long.
	gangSkipped bool
}

// decide follows Submit, CheckAdmission and the next Tick.
func (p *previewer) decide() {
	s, j := p.scheduler, p.job
	submission := j.submission
	_, begun := s.begunJobs[submission.Job.ID]
	switch {
	case s.HasJob(submission.Job.ID):
		p.end(PreviewJoins, "the job is in progress")
		return
	case s.Redirects(submission, p.now) && !s.refusedThere(submission):
		p.preview.Zone = s.redirectedJobs[submission.Job.ID].zone
		p.end(PreviewRedirected, "redirected before")
		return
	case begun || submission.Resumed || slices.ContainsFunc(j.tasks, func(t *task) bool { return s.mayHaveStarted(t.name) }):
		p.end(PreviewJoins, "a task of the job may have started before")
		return
	}
	j.updateReady(s.mayStart)
	p.preview.ReadyTasks = len(j.ready)
	if len(j.ready) == 0 {
		p.end(PreviewUnknown, "the job has no step that can begin")
		return
	}
	awaits := s.awaitsReconciliation(j, p.now)
	switch {
	case awaits:
	case s.evacuation == rattanwork.EvacuationActive && s.awaitsRemoteZones(p.now):
		p.end(PreviewWaits, "the home does not know the room in other zones yet")
		return
	case s.evacuation == rattanwork.EvacuationActive:
		p.refuse(ReasonEvacuated, evacuationRetryAfter)
		return
	case s.targetsKnown && !s.canEverRun(j):
		p.refuse("no target for it", noTargetRetryAfter)
		return
	}
	p.enqueue(awaits)
}

// enqueue decides on a job that some target can run.
func (p *previewer) enqueue(awaits bool) {
	s, j := p.scheduler, p.job
	j.sequence = s.lastSequence + 1
	s.updateEntry(j)
	// The state is copied with the classes, because the class of the job may not exist yet.
	state := *p.state
	state.notePriority(j.submission.Priority)
	state.queue.classes = slices.Clone(state.queue.classes)
	state.queue.work += j.entry.work
	j.class = state.queue.class(false, j.submission.Priority)
	before := state.queue.backlogBefore(j, p.now.UnixNano())
	p.preview.WorkAhead = rattanjson.Duration(before.work / 1000)
	p.preview.Slack = rattanjson.Duration(j.timing.slack(p.now))
	if state.pool.expectedMilliCPU() > 0 {
		p.preview.ExpectedWait = rattanjson.Duration(state.waitOfQueued(j, before, p.now))
	}
	if !awaits && !s.startsBlocked() && !j.expired(p.now) && p.place() {
		if p.preview.Zone == "" {
			p.end(PreviewStarts, "a target has room for it")
		}
		return
	}
	if p.gangSkipped {
		p.end(PreviewUnknown, "the gang is too large for a preview")
		return
	}
	// The backlog includes the work of the job itself.
	retryAfter := state.retryAfter(j, p.now)
	switch {
	case awaits:
		p.end(PreviewWaits, "not all targets have listed their runs since the home took over")
		return
	case !state.pool.mostlyUnknown() && state.refusesNew(j, before, p.now):
		p.refuse(state.backlogReason(), retryAfter)
		return
	case j.expired(p.now):
		p.refuse(reasonCannotStart, retryAfter)
		return
	}
	inClass := state.queue.classBacklog(j, p.now.UnixNano())
	if p.redirect(waitingJob{state: &state, job: j, before: before, inClass: inClass, waited: redirectDelay}) {
		return
	}
	p.end(PreviewWaits, p.waitReason())
}

// redirect decides whether the job would be redirected instead of waiting.
func (p *previewer) redirect(waiting waitingJob) bool {
	if p.scheduler.evacuation != rattanwork.EvacuationNone {
		return false
	}
	zone := p.scheduler.earlierZone(waiting.job, waiting.wait(p.now), p.now)
	if zone < 0 {
		return false
	}
	p.preview.Zone = p.scheduler.remoteZones[zone].Zone
	p.preview.After = rattanjson.Duration(redirectDelay)
	p.end(PreviewRedirected, reasonEarlierElsewhere)
	return true
}

func (p *previewer) waitReason() string {
	switch s := p.scheduler; {
	case s.evacuation == rattanwork.EvacuationUnknown:
		return "it is not known whether the zone is evacuated"
	case s.held:
		return "the home may have lost its authority over the targets"
	case !s.targetsKnown:
		return "no target is known yet"
	default:
		return "no target has room for it now"
	}
}

func (p *previewer) end(outcome PreviewOutcome, reason string) {
	p.preview.Outcome, p.preview.Reason = outcome, reason
}

// refuse refuses the job, or redirects it if another zone has room for it.
func (p *previewer) refuse(reason string, retryAfter time.Duration) {
	if zone := p.scheduler.bestRemoteZone(p.job, p.now); zone >= 0 {
		p.preview.Zone = p.scheduler.remoteZones[zone].Zone
		p.end(PreviewRedirected, reason)
		return
	}
	p.preview.RetryAfter = rattanjson.Duration(retryAfter)
	p.end(PreviewRefused, reason)
}

// place selects targets for the first ready tasks and reports whether there is one for
// any. A job that would be late on a cold target may be redirected instead. Resources are
// reserved only during the search. Jobs that wait need no regard: no target had room for
// them at the last event.
func (p *previewer) place() bool {
	s, j := p.scheduler, p.job
	defer p.release()
	for i := range j.submission.Job.Steps {
		step := &j.submission.Job.Steps[i]
		if !step.Gang && !step.SameRack {
			continue
		}
		tasks := j.readyTasks(i)
		candidates := p.state.pool.indexedTargets()
		if len(tasks)*len(candidates) > maxGangPlacements {
			p.gangSkipped = p.gangSkipped || step.Gang
			continue
		}
		if len(tasks) == 0 {
			continue
		}
		for k, target := range s.placeStep(tasks, candidates) {
			p.reserve(tasks[k], target, "placed together with the other tasks of the step")
		}
	}
	pass := &placementPass{pool: p.state.pool, now: p.now}
	for _, t := range j.ready[:min(len(j.ready), maxPreviewedTasks)] {
		if t.tentativeTarget != nil {
			continue
		}
		target := s.selectTarget(t, pass)
		if target == nil {
			continue
		}
		if target.cold && p.preview.StartingTasks == 0 {
			if zone := s.zoneBesideCold(j, target, p.now); zone >= 0 {
				p.preview.Zone = s.remoteZones[zone].Zone
				p.end(PreviewRedirected, reasonOnlyCold)
				return true
			}
		}
		p.reserve(t, target, targetReason(t, target))
	}
	return p.preview.StartingTasks > 0
}

// targetReason tells why selectTarget has chosen the target.
func targetReason(t *task, target *target) string {
	if rack := t.step().Rack; rack != "" && target.info.HasLabel(rack) {
		return "near the data of the task"
	}
	if target.cold {
		return "no faster target has room for it"
	}
	return "least share of its capacity left over"
}

// reserve records the start of a task.
func (p *previewer) reserve(t *task, target *target, reason string) {
	if p.preview.StartingTasks < maxListedStarts {
		p.preview.Starts = append(p.preview.Starts, PlannedStart{
			Task: t.name, Target: target.info.ID, Reason: reason,
			FreeMilliCPU: target.free.MilliCPU, CapacityMilliCPU: target.info.Capacity.MilliCPU,
		})
	}
	p.preview.StartingTasks++
	t.tentativeTarget = target
	target.reserve(t.resources())
	p.state.pool.refresh(target, p.now)
}

// release undoes the reservations.
func (p *previewer) release() {
	for _, t := range p.job.tasks {
		if target := t.tentativeTarget; target != nil {
			t.tentativeTarget = nil
			target.release(t.resources())
			p.state.pool.refresh(target, p.now)
		}
	}
}

func (s *Scheduler) targetKnowledge(service string, pool *targetPool, now time.Time) TargetKnowledge {
	knowledge := TargetKnowledge{FreeMilliCPU: pool.freeMilliCPU, LargestMilliCPU: pool.maxFree().MilliCPU}
	var newest, oldest time.Time
	for _, t := range s.targets {
		if t.info.Service != service {
			continue
		}
		knowledge.Known++
		if !t.pooled.usable {
			continue
		}
		knowledge.Usable++
		if newest.IsZero() || t.listedAt.After(newest) {
			newest = t.listedAt
		}
		if oldest.IsZero() || t.listedAt.Before(oldest) {
			oldest = t.listedAt
		}
	}
	knowledge.NewestListing, knowledge.OldestListing = ageOf(newest, now), ageOf(oldest, now)
	return knowledge
}

func (s *Scheduler) zoneKnowledge(j *job, now time.Time) []ZoneKnowledge {
	need := s.zoneNeed(j)
	list := make([]ZoneKnowledge, 0, len(s.remoteZones))
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		list = append(list, ZoneKnowledge{
			Zone:         zone.Zone,
			FreeMilliCPU: zone.FreeMilliCPU,
			HasRoom:      zone.spare(&need, 1) >= 0,
			ExpectedWait: rattanjson.Duration(zone.newJobWait(&need)),
			Age:          ageOf(zone.ReportedAt, now),
		})
	}
	return list
}

// ageOf returns the time since then, nil if that is not known.
func ageOf(then, now time.Time) *rattanjson.Duration {
	if then.IsZero() {
		return nil
	}
	age := rattanjson.Duration(now.Sub(then))
	return &age
}
