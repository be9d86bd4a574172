package rattanscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// usePlainPlacement makes a scheduler sort all waiting jobs and try each of
// their tasks on each target in every pass, without any index.
func usePlainPlacement(s *Scheduler) {
	s.startWaiting = func(now time.Time) {
		var list []*job
		for _, j := range s.jobs {
			if len(j.ready) > 0 && !j.expired(now) && !s.awaitsReconciliation(j, now) {
				list = append(list, j)
			}
		}
		mixed := s.service(testService).queue.mixed
		slices.SortFunc(list, func(a, b *job) int {
			return cmp.Or(
				compareTrueFirst(mixed && a.runCount > 0, mixed && b.runCount > 0),
				cmp.Compare(a.timing.classify(now), b.timing.classify(now)),
				compareTrueFirst(a.runCount > 0, b.runCount > 0),
				cmp.Compare(a.submission.Priority, b.submission.Priority),
				a.timing.latestStart.Compare(b.timing.latestStart),
				cmp.Compare(a.sequence, b.sequence),
			)
		})
		started := len(list)
		if mixed {
			started = len(slices.DeleteFunc(slices.Clone(list), func(j *job) bool { return j.runCount == 0 }))
		}
		for _, j := range list[:started] {
			startPlain(s, j, now)
		}
		if mixed {
			startPlainOwed(s, list[started:], now)
		}
		for _, j := range list[started:] {
			startPlain(s, j, now)
		}
	}
}

// startPlainOwed starts on-time jobs of the priorities that have less than their least
// share.
func startPlainOwed(s *Scheduler, list []*job, now time.Time) {
	for priority := range 3 {
		for _, j := range list {
			if j.submission.Priority == priority && j.timing.classify(now) == timelinessOnTime && s.service(testService).owed(priority, now) {
				startPlain(s, j, now)
			}
		}
	}
}

func startPlain(s *Scheduler, j *job, now time.Time) {
	for _, t := range slices.Clone(j.ready) {
		best := scoredTarget{}
		for _, target := range s.targets {
			if target.usable(now) && target.free.MilliCPU > 0 && s.suits(t, target) {
				best = best.better(scoredTarget{target, s.score(t, target)})
			}
		}
		if best.target != nil {
			j.removeReady(t)
			s.startRun(t, best.target, now)
		}
	}
	s.reposition(j)
}

// schedulerPair feeds the same events to a scheduler with indexes and to one
// with plain placement.
type schedulerPair struct {
	*rapid.T
	now       time.Time
	both      [2]*Scheduler
	targets   []rattanwork.Target
	sequences map[string]int64
	started   []StartRequest
	jobs      int
}

func newSchedulerPair(t *rapid.T) *schedulerPair {
	p := &schedulerPair{T: t, now: time.Unix(1_800_000_000, 0), sequences: map[string]int64{}}
	for i := range p.both {
		p.both[i] = New(Config{MaxLease: time.Second, RemotePenalty: 1.5, TakeoverTime: p.now})
	}
	usePlainPlacement(p.both[1])
	for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
		target := testTarget(i)
		target.Capacity.MilliCPU = rapid.SampledFrom([]int{32000, 48000}).Draw(t, "capacity")
		target.Labels[0] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")
		p.targets = append(p.targets, target)
	}
	p.each(func(s *Scheduler) { s.UpdateTargets(p.targets, true, p.now) })
	for _, target := range p.targets {
		p.list(target.ID, rattanwork.Listing{})
	}
	return p
}

// each applies an event to both schedulers and compares their decisions.
func (p *schedulerPair) each(event func(s *Scheduler)) {
	var outputs [2]Output
	for i, s := range p.both {
		event(s)
		outputs[i] = s.Take()
	}
	indexed, plain := describeOutput(outputs[0]), describeOutput(outputs[1])
	if !slices.Equal(indexed, plain) {
		p.Fatalf("decisions differ\nwith indexes: %q\nplain:        %q", indexed, plain)
	}
	p.started = append(p.started, outputs[0].Starts...)
}

// describeOutput lists the starts in their order, and the other decisions
// sorted.
func describeOutput(output Output) []string {
	var starts, others []string
	for _, start := range output.Starts {
		starts = append(starts, fmt.Sprintf("start %s %d on %s", start.Task, start.Attempt, start.Target.ID))
	}
	for _, stop := range output.Stops {
		others = append(others, fmt.Sprintf("stop %s %d on %s", stop.Task, stop.Attempt, stop.Target.ID))
	}
	for _, result := range output.Results {
		others = append(others, fmt.Sprintf("%s %s", result.JobID, result.Outcome))
	}
	slices.Sort(others)
	return append(starts, others...)
}

func (p *schedulerPair) list(id string, listing rattanwork.Listing) {
	p.each(func(s *Scheduler) { s.RunsListed(id, &listing, p.now, p.now.Add(-time.Hour), p.now) })
}

func (p *schedulerPair) submit() {
	p.jobs++
	id := fmt.Sprintf("%016x", p.jobs)
	step := rattanwork.Step{
		Count:        rapid.IntRange(1, 6).Draw(p.T, "tasks"),
		Resources:    rattanwork.Resources{MilliCPU: 500 * rapid.IntRange(2, 60).Draw(p.T, "cpu"), MemoryMB: 10 * rapid.IntRange(1, 60).Draw(p.T, "memory")},
		Estimate:     time.Duration(rapid.IntRange(10, 500).Draw(p.T, "estimate")) * time.Millisecond,
		Label:        rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(p.T, "label"),
		Rack:         rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(p.T, "rack"),
		MaxPerTarget: rapid.SampledFrom([]int{0, 0, 1}).Draw(p.T, "limit"),
	}
	steps := []rattanwork.Step{step}
	if rapid.Bool().Draw(p.T, "two steps") {
		step.After = []int{0}
		steps = append(steps, step)
	}
	objective := time.Duration(rapid.IntRange(50, 900).Draw(p.T, "objective")) * time.Millisecond
	submission := Submission{
		Job:         &rattanwork.Job{ID: id, Steps: steps},
		Service:     testService,
		Priority:    rapid.IntRange(0, 2).Draw(p.T, "priority"),
		MaxAttempts: 3,
		SlackFactor: 1.6,
		Objective:   p.now.Add(objective),
		LateUntil:   p.now.Add(3 * objective),
		Deadline:    p.now.Add(4 * time.Second),
		Resumed:     rapid.IntRange(0, 9).Draw(p.T, "resumed") == 0,
	}
	p.each(func(s *Scheduler) {
		s.Submit(submission, p.now)
		s.CheckAdmission(id, p.now)
	})
}

// takeStart removes one of the requested runs from the list.
func (p *schedulerPair) takeStart() (StartRequest, bool) {
	if len(p.started) == 0 {
		return StartRequest{}, false
	}
	index := rapid.IntRange(0, len(p.started)-1).Draw(p.T, "run")
	start := p.started[index]
	p.started = slices.Delete(p.started, index, index+1)
	return start, true
}

func (p *schedulerPair) answerStart() {
	start, ok := p.takeStart()
	if !ok {
		return
	}
	result := rapid.SampledFrom([]rattanwork.StartResult{rattanwork.StartAccepted, rattanwork.StartAccepted, rattanwork.StartNoResources, rattanwork.StartUnknown}).Draw(p.T, "result")
	p.each(func(s *Scheduler) {
		s.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: result}, p.now)
	})
	if result == rattanwork.StartAccepted {
		p.started = append(p.started, start)
	}
}

func (p *schedulerPair) endRun() {
	start, ok := p.takeStart()
	if !ok {
		return
	}
	kind := rapid.SampledFrom([]rattanwork.EndKind{rattanwork.EndDone, rattanwork.EndDone, rattanwork.EndDone, rattanwork.EndFailed, rattanwork.EndLeaseExpired}).Draw(p.T, "end")
	p.sequences[start.Target.ID]++
	p.list(start.Target.ID, rattanwork.Listing{
		Ended:   []rattanwork.End{{Sequence: p.sequences[start.Target.ID], Task: start.Task, Attempt: start.Attempt, Kind: kind}},
		Running: p.runningOn(start.Target.ID),
	})
}

func (p *schedulerPair) runningOn(id string) []rattanwork.Run {
	var list []rattanwork.Run
	for _, start := range p.started {
		if start.Target.ID == id {
			list = append(list, rattanwork.Run{Task: start.Task, Attempt: start.Attempt, Percent: 99})
		}
	}
	return list
}

func (p *schedulerPair) changeTargets() {
	index := rapid.IntRange(0, len(p.targets)-1).Draw(p.T, "target")
	id := p.targets[index].ID
	switch rapid.IntRange(0, 4).Draw(p.T, "change") {
	case 0:
		p.targets[index].Draining = !p.targets[index].Draining
	case 1:
		p.targets[index].Capacity.MilliCPU = rapid.SampledFrom([]int{32000, 48000}).Draw(p.T, "capacity")
	case 2:
		expired := rapid.Bool().Draw(p.T, "expired")
		p.each(func(s *Scheduler) { s.TargetUnresponsive(id, expired, p.now) })
	case 3:
		p.list(id, rattanwork.Listing{Running: p.runningOn(id)})
	case 4:
		remaining := slices.Delete(slices.Clone(p.targets), index, index+1)
		p.each(func(s *Scheduler) { s.UpdateTargets(remaining, true, p.now) })
	}
	p.each(func(s *Scheduler) { s.UpdateTargets(p.targets, true, p.now) })
}

// TestPlacementMatchesPlainAlgorithm guards against indexes that change
// decisions: random days must give the same starts, in the same order, as a
// search over all jobs and all targets.
func TestPlacementMatchesPlainAlgorithm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSchedulerPair(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(*rapid.T) { p.submit() },
			"submit2": func(*rapid.T) { p.submit() },
			"answer":  func(*rapid.T) { p.answerStart() },
			"end":     func(*rapid.T) { p.endRun() },
			"end2":    func(*rapid.T) { p.endRun() },
			"targets": func(*rapid.T) { p.changeTargets() },
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("%016x", rapid.IntRange(0, p.jobs).Draw(t, "job"))
				p.each(func(s *Scheduler) { s.Cancel(id, p.now) })
			},
			"tick": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "advance")) * time.Millisecond)
				p.each(func(s *Scheduler) { s.Tick(p.now) })
			},
		})
	})
}

// newFullZone returns a zone in which all targets run a task that leaves too
// little free for any other, and the given number of jobs wait.
func newFullZone(c *qt.C, targets, waiting int) (z *fakeZone, running []StartRequest) {
	z = newReconciledZone(c, targets)
	for i := range targets {
		submission := z.benchSubmission(i, 25000)
		z.scheduler.Submit(submission, z.now)
	}
	running = z.scheduler.Take().Starts
	c.Assert(running, qt.HasLen, targets)
	for i := range waiting {
		z.scheduler.Submit(z.benchSubmission(targets+i, 15000+i%9000), z.now)
	}
	c.Assert(z.scheduler.Take().Starts, qt.HasLen, 0)
	return z, running
}

// benchSubmission returns a job of one task that can wait for a long time.
func (z *fakeZone) benchSubmission(number, milliCPU int) Submission {
	submission := z.submission(fmt.Sprintf("%016x", number), 1)
	submission.Job.Steps[0].Resources.MilliCPU = milliCPU
	submission.Priority = number % 3
	submission.Objective = z.now.Add(time.Hour + time.Duration(number%977)*time.Millisecond)
	submission.LateUntil = z.now.Add(2 * time.Hour)
	submission.Deadline = z.now.Add(2 * time.Hour)
	return submission
}

// BenchmarkRunEnd measures all events of one task while other jobs wait: its
// submission, the end of an earlier run, the start in its place and the answer
// to the start.
func BenchmarkRunEnd(b *testing.B) {
	for _, targets := range []int{10, 100, 1000} {
		for _, waiting := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				z, running := newFullZone(qt.New(b), targets, waiting)
				sequences := map[string]int64{}
				number := targets + waiting
				for b.Loop() {
					ending := running[0]
					id := ending.Target.ID
					sequences[id]++
					z.scheduler.RunsListed(id, &rattanwork.Listing{Ended: []rattanwork.End{{Sequence: sequences[id], Task: ending.Task, Attempt: 1, Kind: rattanwork.EndDone}}}, z.now, z.voidBefore, z.now)
					z.scheduler.Submit(z.benchSubmission(number, 15000+number%9000), z.now)
					number++
					starts := z.scheduler.Take().Starts
					for _, start := range starts {
						z.scheduler.StartAnswered(start.Target.ID, start.Task, 1, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, z.now)
					}
					running = append(running[1:], starts...)
				}
			})
		}
	}
}

// BenchmarkTick measures the time-driven decisions while jobs wait.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			z, _ := newFullZone(qt.New(b), 100, waiting)
			for b.Loop() {
				z.scheduler.Tick(z.now)
			}
		})
	}
}
