package rattanday

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	service = "service"
	// maxLease is the lease that the schedulers grant; runs never lose it here.
	maxLease = time.Second
	// tickInterval is the interval of decisions that depend only on time.
	tickInterval = 10 * time.Millisecond
	// loadInterval is the age that a zone's knowledge of other zones has at most.
	loadInterval = 150 * time.Millisecond
	// redirectTime is the time from the redirect of a job to its submission in
	// the other zone.
	redirectTime = 3 * time.Millisecond
	// memoryMB is more than any job needs, since jobs need none here.
	memoryMB = 1
	// maxAttempts is never reached, because no run fails.
	maxAttempts = 3
)

// start is when a simulated day begins.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// homes simulates the schedulers of all zones.
type homes struct {
	zones []*home
	jobs  map[string]*job
	tasks map[string]simulatedTask
	now   time.Duration
	// redirects are the jobs on their way to another zone, in the order of their
	// arrival there.
	redirects []redirect
	outcomes  map[*job]outcome
	evacuationRecord
}

// home is the scheduler of one zone, with its targets.
type home struct {
	name      string
	scheduler *rattanscheduler.Scheduler
	targets   map[string]*simulatedTarget
	inventory []rattanwork.Target
	ends      eventQueue[runEnd]
}

type simulatedTarget struct {
	speed    float64
	milliCPU int
	lost     func(at time.Duration) bool
	sequence int64
	running  []simulatedRun
}

type simulatedRun struct {
	task     string
	attempt  int
	milliCPU int
	started  time.Duration
	end      time.Duration
}

// simulatedTask is a task as only its target knows it.
type simulatedTask struct {
	runTime  time.Duration
	milliCPU int
}

type redirect struct {
	job  *job
	zone string
	at   time.Duration
	// started is set if the job may have started.
	started bool
}

// outcome is how a job ended.
type outcome struct {
	result rattanscheduler.Outcome
	end    time.Duration
	// room is set if the job was not completed although a target of some zone had
	// room for a task of it.
	room bool
	// reason is the scheduler's explanation of the outcome.
	reason string
}

// simulateHomes plays the jobs on one scheduler for each zone, given the targets
// of the zones.
func simulateHomes(zones [][]target, jobs []*job) map[*job]outcome {
	return playHomes(zones, jobs, nil).outcomes
}

// playHomes does the same with zones that are evacuated at times.
func playHomes(zones [][]target, jobs []*job, evacuations []Evacuation) *homes {
	s := &homes{
		jobs: map[string]*job{}, tasks: map[string]simulatedTask{}, outcomes: map[*job]outcome{},
		evacuationRecord: newEvacuationRecord(evacuations),
	}
	for i, targets := range zones {
		s.zones = append(s.zones, newHome(zoneName(i), targets))
	}
	next := 0
	for ; len(s.outcomes) < len(jobs); s.now += timeStep {
		s.evacuate()
		if s.now%loadInterval == 0 {
			s.reportLoads()
		}
		for ; next < len(jobs) && jobs[next].arrival <= s.now; next++ {
			s.submit(s.zones[jobs[next].zone], redirect{job: jobs[next]})
		}
		for len(s.redirects) > 0 && s.redirects[0].at <= s.now {
			arrived := s.redirects[0]
			s.redirects = s.redirects[1:]
			s.submit(s.zone(arrived.zone), arrived)
		}
		for _, zone := range s.zones {
			zone.updateLost(s.now)
			s.listEnds(zone)
			if s.now%tickInterval == 0 {
				zone.scheduler.Tick(start.Add(s.now))
			}
			s.apply(zone)
		}
	}
	return s
}

func newHome(name string, targets []target) *home {
	h := &home{
		name:      name,
		scheduler: rattanscheduler.New(rattanscheduler.Config{MaxLease: maxLease, RemotePenalty: 1, TakeoverTime: start}),
		targets:   map[string]*simulatedTarget{},
	}
	for i, target := range targets {
		id := fmt.Sprintf("%s-%d", name, i)
		h.targets[id] = &simulatedTarget{speed: target.speed, milliCPU: target.milliCPU, lost: target.lost}
		h.inventory = append(h.inventory, rattanwork.Target{
			ID: id, Service: service, Zone: name, Capacity: rattanwork.Resources{MilliCPU: target.milliCPU, MemoryMB: memoryMB},
		})
	}
	h.scheduler.UpdateTargets(h.inventory, true, start)
	for id := range h.targets {
		h.scheduler.RunsListed(id, &rattanwork.Listing{}, start, start, start)
	}
	return h
}

// updateLost shows in the inventory which targets drain.
func (h *home) updateLost(now time.Duration) {
	changed := false
	for i := range h.inventory {
		lost := h.targets[h.inventory[i].ID].lost(now)
		changed = changed || lost != h.inventory[i].Draining
		h.inventory[i].Draining = lost
	}
	if changed {
		h.scheduler.UpdateTargets(h.inventory, true, start.Add(now))
	}
}

// hasRoom reports whether a target has room for a task.
func (h *home) hasRoom(milliCPU int, now time.Duration) bool {
	for _, target := range h.targets {
		free := target.milliCPU
		for _, run := range target.running {
			free -= run.milliCPU
		}
		if free >= milliCPU && !target.lost(now) {
			return true
		}
	}
	return false
}

// hasRoom reports whether a target of any zone has room for a task of the job.
func (s *homes) hasRoom(j *job) bool {
	return slices.ContainsFunc(s.zones, func(zone *home) bool { return zone.hasRoom(j.milliCPU, s.now) })
}

func (s *homes) zone(name string) *home {
	for _, zone := range s.zones {
		if zone.name == name {
			return zone
		}
	}
	return nil
}

func (s *homes) reportLoads() {
	for _, zone := range s.zones {
		var others []rattanscheduler.RemoteZone
		for _, other := range s.zones {
			if other != zone && !s.evacuated(other.name) {
				now := start.Add(s.now)
				others = append(others, rattanscheduler.RemoteZone{
					Zone: other.name, FreeMilliCPU: other.scheduler.FreeMilliCPU(now), Rooms: other.scheduler.Rooms(now), ReportedAt: now,
				})
			}
		}
		zone.scheduler.SetRemoteZones(others)
	}
}

// submit submits a job to the home of a zone, after a redirect or for the first time.
func (s *homes) submit(zone *home, r redirect) {
	j, redirected := r.job, zone != s.zones[r.job.zone]
	request := &rattanwork.Job{ID: j.id, Steps: []rattanwork.Step{{
		Count: len(j.runTimes), Resources: rattanwork.Resources{MilliCPU: j.milliCPU}, Estimate: j.declared,
	}}}
	s.jobs[j.id] = j
	index := 0
	for name := range request.TaskNames() {
		s.tasks[name] = simulatedTask{runTime: j.runTimes[index], milliCPU: j.milliCPU}
		index++
	}
	now, arrival := start.Add(s.now), start.Add(j.arrival)
	objective := j.kind.Latency.Std() + time.Duration(j.kind.Slack*float64(j.declared))
	zone.scheduler.Submit(rattanscheduler.Submission{
		Job: request, Service: service, Priority: j.kind.Priority, MaxAttempts: maxAttempts,
		Objective: arrival.Add(objective), LateUntil: arrival.Add(rattanwork.LateFactor * objective),
		SlackFactor: j.kind.Slack, Deadline: arrival.Add(j.kind.Timeout.Std()),
		Resumed: r.started, Redirected: redirected, Redirectable: !redirected && !r.started, Tried: slices.Clone(s.tried[j]),
	}, now)
	zone.scheduler.CheckAdmission(j.id, now)
}

// apply executes the decisions of a scheduler.
func (s *homes) apply(zone *home) {
	output := zone.scheduler.Take()
	for _, request := range output.Starts {
		s.recordStart(zone, request)
		zone.start(request, s.tasks[request.Task], s.now)
	}
	for _, request := range output.Stops {
		zone.stop(request, s.now)
	}
	for _, result := range output.Results {
		j := s.jobs[result.JobID]
		if s.goOn(zone, j, result) {
			continue
		}
		s.outcomes[j] = outcome{
			result: result.Outcome, end: s.now, reason: result.Reason,
			room: result.Outcome != rattanscheduler.Succeeded && s.hasRoom(j),
		}
	}
}

// start starts a run of a task.
func (h *home) start(request rattanscheduler.StartRequest, task simulatedTask, now time.Duration) {
	target := h.targets[request.Target.ID]
	end := now + time.Duration(target.speed*float64(task.runTime))
	target.running = append(target.running, simulatedRun{task: request.Task, attempt: request.Attempt, milliCPU: task.milliCPU, started: now, end: end})
	heap.Push(&h.ends, runEnd{at: end, target: request.Target.ID, task: request.Task, attempt: request.Attempt, kind: rattanwork.EndDone})
	h.scheduler.StartAnswered(request.Target.ID, request.Task, request.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, start.Add(now))
}

// stop stops a run at once.
func (h *home) stop(request rattanscheduler.StopRequest, now time.Duration) {
	h.scheduler.StopAnswered(request.Target.ID, request.Task, request.Attempt, start.Add(now))
	heap.Push(&h.ends, runEnd{at: now, target: request.Target.ID, task: request.Task, attempt: request.Attempt, kind: rattanwork.EndStopped})
}

// listEnds lists the runs that have ended to the scheduler of a zone.
func (s *homes) listEnds(h *home) {
	now := s.now
	for len(h.ends) > 0 && h.ends[0].at <= now {
		end := heap.Pop(&h.ends).(runEnd)
		target := h.targets[end.target]
		if !target.remove(end) {
			continue
		}
		s.active[end.task]--
		target.sequence++
		h.scheduler.RunsListed(end.target, &rattanwork.Listing{
			Running: target.list(now),
			Ended:   []rattanwork.End{{Sequence: target.sequence, Task: end.task, Attempt: end.attempt, Kind: end.kind}},
		}, start.Add(now), start, start.Add(now))
	}
}

// remove removes the run and reports whether it was active: a stopped run has no
// second end.
func (t *simulatedTarget) remove(end runEnd) bool {
	for i, run := range t.running {
		if run.task == end.task && run.attempt == end.attempt {
			t.running = append(t.running[:i:i], t.running[i+1:]...)
			return true
		}
	}
	return false
}

// list returns the active runs with their progress.
func (t *simulatedTarget) list(now time.Duration) []rattanwork.Run {
	var runs []rattanwork.Run
	for _, run := range t.running {
		percent := int(100 * (now - run.started) / (run.end - run.started))
		runs = append(runs, rattanwork.Run{Task: run.task, Attempt: run.attempt, Percent: percent})
	}
	return runs
}

// runEnd is the end of a run.
type runEnd struct {
	at      time.Duration
	target  string
	task    string
	attempt int
	kind    rattanwork.EndKind
}

func (e runEnd) time() time.Duration { return e.at }
