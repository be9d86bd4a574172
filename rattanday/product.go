package rattanday

import (
	"container/heap"
	"fmt"
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
	// runTimes contains the true run time of each task.
	runTimes map[string]time.Duration
	now      time.Duration
	// redirects are the jobs on their way to another zone, in the order of their
	// arrival there.
	redirects []redirect
	outcomes  map[*job]outcome
}

// home is the scheduler of one zone, with its targets.
type home struct {
	name      string
	scheduler *rattanscheduler.Scheduler
	targets   map[string]*simulatedTarget
	ends      eventQueue[runEnd]
	// inventory describes the targets, in the order of the zone.
	inventory []rattanwork.Target
}

type simulatedTarget struct {
	speed float64
	// slowdown is the factor by which runs take longer at present.
	slowdown float64
	// coldUntil is until when the target is cold, as the inventory tells.
	coldUntil time.Duration
	sequence  int64
	running   []simulatedRun
}

type simulatedRun struct {
	task    string
	attempt int
	// done is the part of the run that was complete at doneAt, when it started or
	// the speed of its target last changed.
	done   float64
	doneAt time.Duration
	end    time.Duration
}

type redirect struct {
	job  *job
	zone string
	at   time.Duration
}

// outcome is how a job ended.
type outcome struct {
	result rattanscheduler.Outcome
	end    time.Duration
}

// simulateHomes plays the jobs on one scheduler for each zone, given the targets
// of the zones.
func simulateHomes(zones [][]target, jobs []*job) map[*job]outcome {
	return simulateChanges(zones, jobs, nil, 0)
}

// simulateChanges plays the jobs while the speeds of targets change. The targets
// list their runs at the interval, or only ends if it is 0.
func simulateChanges(zones [][]target, jobs []*job, slowdowns []slowdown, listInterval time.Duration) map[*job]outcome {
	s := &homes{jobs: map[string]*job{}, runTimes: map[string]time.Duration{}, outcomes: map[*job]outcome{}}
	for i, targets := range zones {
		s.zones = append(s.zones, newHome(fmt.Sprintf("zone-%d", i), targets))
	}
	next := 0
	for ; len(s.outcomes) < len(jobs); s.now += timeStep {
		if s.now%loadInterval == 0 {
			s.reportLoads()
		}
		for ; next < len(jobs) && jobs[next].arrival <= s.now; next++ {
			s.submit(s.zones[jobs[next].zone], jobs[next], true)
		}
		for len(s.redirects) > 0 && s.redirects[0].at <= s.now {
			arrived := s.redirects[0]
			s.redirects = s.redirects[1:]
			s.submit(s.zone(arrived.zone), arrived.job, false)
		}
		for i, zone := range s.zones {
			zone.changeSpeeds(i, slowdowns, s.now)
			zone.listEnds(s.now)
			zone.listRuns(listInterval, s.now)
			if s.now%tickInterval == 0 {
				zone.scheduler.Tick(start.Add(s.now))
			}
			s.apply(zone)
		}
	}
	return s.outcomes
}

func newHome(name string, targets []target) *home {
	h := &home{
		name:      name,
		scheduler: rattanscheduler.New(rattanscheduler.Config{MaxLease: maxLease, RemotePenalty: 1, TakeoverTime: start}),
		targets:   map[string]*simulatedTarget{},
	}
	for i, target := range targets {
		id := fmt.Sprintf("%s-%d", name, i)
		h.targets[id] = &simulatedTarget{speed: target.speed, slowdown: 1}
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
			if other != zone {
				others = append(others, rattanscheduler.RemoteZone{Zone: other.name, FreeMilliCPU: other.scheduler.FreeMilliCPU(start.Add(s.now))})
			}
		}
		zone.scheduler.SetRemoteZones(others)
	}
}

func (s *homes) submit(zone *home, j *job, redirectable bool) {
	request := &rattanwork.Job{ID: j.id, Steps: []rattanwork.Step{{
		Count: len(j.runTimes), Resources: rattanwork.Resources{MilliCPU: j.kind.MilliCPU}, Estimate: j.declared,
	}}}
	s.jobs[j.id] = j
	index := 0
	for name := range request.TaskNames() {
		s.runTimes[name] = j.runTimes[index]
		index++
	}
	now, arrival := start.Add(s.now), start.Add(j.arrival)
	objective := j.kind.Latency.Std() + time.Duration(j.kind.Slack*float64(j.declared))
	zone.scheduler.Submit(rattanscheduler.Submission{
		Job: request, Service: service, Priority: j.kind.Priority, MaxAttempts: maxAttempts,
		Objective: arrival.Add(objective), LateUntil: arrival.Add(rattanwork.LateFactor * objective),
		SlackFactor: j.kind.Slack, Deadline: arrival.Add(j.kind.Timeout.Std()), Redirectable: redirectable,
	}, now)
	zone.scheduler.CheckAdmission(j.id, now)
}

// apply executes the decisions of a scheduler.
func (s *homes) apply(zone *home) {
	output := zone.scheduler.Take()
	for _, request := range output.Starts {
		zone.start(request, s.runTimes[request.Task], s.now)
	}
	for _, request := range output.Stops {
		zone.stop(request, s.now)
	}
	for _, result := range output.Results {
		j := s.jobs[result.JobID]
		if result.Outcome == rattanscheduler.Redirected {
			s.redirects = append(s.redirects, redirect{job: j, zone: result.Zone, at: s.now + redirectTime})
			continue
		}
		s.outcomes[j] = outcome{result: result.Outcome, end: s.now}
	}
}

// start starts a run, given its run time on the fastest targets.
func (h *home) start(request rattanscheduler.StartRequest, runTime, now time.Duration) {
	target := h.targets[request.Target.ID]
	end := now + time.Duration(target.speed*target.slowdown*float64(runTime))
	target.running = append(target.running, simulatedRun{task: request.Task, attempt: request.Attempt, doneAt: now, end: end})
	heap.Push(&h.ends, runEnd{at: end, target: request.Target.ID, task: request.Task, attempt: request.Attempt, kind: rattanwork.EndDone})
	h.scheduler.StartAnswered(request.Target.ID, request.Task, request.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, start.Add(now))
}

// stop stops a run at once.
func (h *home) stop(request rattanscheduler.StopRequest, now time.Duration) {
	h.scheduler.StopAnswered(request.Target.ID, request.Task, request.Attempt, start.Add(now))
	heap.Push(&h.ends, runEnd{at: now, target: request.Target.ID, task: request.Task, attempt: request.Attempt, kind: rattanwork.EndStopped})
}

// listEnds lists the runs that have ended to the scheduler.
func (h *home) listEnds(now time.Duration) {
	for len(h.ends) > 0 && h.ends[0].at <= now {
		end := heap.Pop(&h.ends).(runEnd)
		target := h.targets[end.target]
		if !target.remove(end) {
			continue
		}
		target.sequence++
		h.scheduler.RunsListed(end.target, &rattanwork.Listing{
			Running: target.list(now),
			Ended:   []rattanwork.End{{Sequence: target.sequence, Task: end.task, Attempt: end.attempt, Kind: end.kind}},
		}, start.Add(now), start, start.Add(now))
	}
}

// remove removes the run and reports whether it was active and has ended: a stopped
// run has no second end, and an end is void after a change of speed.
func (t *simulatedTarget) remove(end runEnd) bool {
	for i, run := range t.running {
		if run.task == end.task && run.attempt == end.attempt && (end.kind != rattanwork.EndDone || run.end == end.at) {
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
		percent := int(100 * run.progress(now))
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
