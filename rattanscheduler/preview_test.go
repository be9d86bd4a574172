package rattanscheduler

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// previewCase is a state of a zone and a job that is submitted to it.
type previewCase struct {
	zone func(c *qt.C) *fakeZone
	// change changes the job, which has tasks of 14 cores, two of which fit on a target.
	tasks  int
	change func(z *fakeZone, submission *Submission)
	want   PreviewOutcome
	// zoneName and starting are the expected zone of a redirect and number of starts.
	zoneName string
	starting int
}

// previewedJob is the ID of the job that is previewed.
const previewedJob = "00000000000000cc"

// queuedZone returns a zone with one target, which is full, and waiting jobs.
func queuedZone(waiting int) func(c *qt.C) *fakeZone {
	return func(c *qt.C) *fakeZone {
		z := newReconciledZone(c, 1)
		for i := range waiting + 1 {
			submission := z.submission(fmt.Sprintf("%016x", i+1), 2)
			submission.Objective, submission.LateUntil, submission.Deadline = z.now.Add(time.Minute), z.now.Add(time.Hour), z.now.Add(time.Hour)
			z.scheduler.Submit(submission, z.now)
		}
		return z
	}
}

func freeZone(c *qt.C) *fakeZone { return newReconciledZone(c, 2) }

func evacuatedZone(status rattanwork.EvacuationStatus) func(c *qt.C) *fakeZone {
	return func(c *qt.C) *fakeZone {
		z := freeZone(c)
		z.scheduler.SetEvacuation(status, z.now)
		return z
	}
}

func withRoomElsewhere(zone func(c *qt.C) *fakeZone) func(c *qt.C) *fakeZone {
	return func(c *qt.C) *fakeZone {
		z := zone(c)
		z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: 60_000, ReportedAt: z.now.Add(-100 * time.Millisecond)}, {Zone: "c", FreeMilliCPU: 1000}})
		return z
	}
}

var previewCases = map[string]previewCase{
	"all tasks start":        {zone: freeZone, tasks: 2, want: PreviewStarts, starting: 2},
	"some tasks start":       {zone: freeZone, tasks: 7, want: PreviewStarts, starting: 4},
	"gang starts":            {zone: freeZone, tasks: 3, change: inGang, want: PreviewStarts, starting: 3},
	"gang waits":             {zone: withRunningJob, tasks: 4, change: inGang, want: PreviewWaits},
	"tasks go to the data":   {zone: freeZone, tasks: 1, change: nearRack("r0"), want: PreviewStarts, starting: 1},
	"one task on a target":   {zone: freeZone, tasks: 3, change: onePerTarget, want: PreviewStarts, starting: 2},
	"no room":                {zone: queuedZone(0), tasks: 1, want: PreviewWaits},
	"work before it":         {zone: queuedZone(20), tasks: 1, change: lessUrgent, want: PreviewRefused},
	"work behind it":         {zone: queuedZone(20), tasks: 1, change: moreUrgent, want: PreviewWaits},
	"work before, elsewhere": {zone: withRoomElsewhere(queuedZone(20)), tasks: 1, change: lessUrgentRedirectable, want: PreviewRedirected, zoneName: "b"},
	"room elsewhere":         {zone: withRoomElsewhere(queuedZone(0)), tasks: 1, change: redirectable, want: PreviewRedirected, zoneName: "b"},
	"little room elsewhere":  {zone: withRoomElsewhere(queuedZone(0)), tasks: 3, change: redirectable, want: PreviewWaits},
	"not redirectable":       {zone: withRoomElsewhere(queuedZone(0)), tasks: 1, want: PreviewWaits},
	"too large":              {zone: freeZone, tasks: 1, change: tooLarge, want: PreviewRefused},
	"no such service":        {zone: freeZone, tasks: 1, change: otherService, want: PreviewRefused},
	"too late":               {zone: freeZone, tasks: 1, change: tooLate, want: PreviewRefused},
	"evacuated":              {zone: afterTakeover(evacuatedZone(rattanwork.EvacuationActive)), tasks: 1, change: redirectable, want: PreviewRefused},
	"evacuated at takeover":  {zone: evacuatedZone(rattanwork.EvacuationActive), tasks: 1, change: redirectable, want: PreviewWaits},
	"evacuated, elsewhere":   {zone: withRoomElsewhere(evacuatedZone(rattanwork.EvacuationActive)), tasks: 1, change: redirectable, want: PreviewRedirected, zoneName: "b"},
	"evacuation unknown":     {zone: withRoomElsewhere(evacuatedZone(rattanwork.EvacuationUnknown)), tasks: 1, change: redirectable, want: PreviewWaits},
	"targets not listed":     {zone: func(c *qt.C) *fakeZone { return newFakeZone(c, 2) }, tasks: 1, want: PreviewWaits},
	"authority lost":         {zone: heldZone, tasks: 1, want: PreviewWaits},
}

// afterTakeover lets the time pass in which a new home learns of the room elsewhere.
func afterTakeover(zone func(*qt.C) *fakeZone) func(*qt.C) *fakeZone {
	return func(c *qt.C) *fakeZone {
		z := zone(c)
		z.now = z.now.Add(remoteZonesTime)
		return z
	}
}

func inGang(_ *fakeZone, s *Submission) { s.Job.Steps[0].Gang = true }

func nearRack(rack string) func(*fakeZone, *Submission) {
	return func(_ *fakeZone, s *Submission) { s.Job.Steps[0].Rack = rack }
}

func onePerTarget(_ *fakeZone, s *Submission) { s.Job.Steps[0].MaxPerTarget = 1 }

func moreUrgent(z *fakeZone, s *Submission) { s.Objective = z.now.Add(200 * time.Millisecond) }

func lessUrgent(_ *fakeZone, s *Submission) { s.Priority = 1 }

func lessUrgentRedirectable(z *fakeZone, s *Submission) {
	lessUrgent(z, s)
	redirectable(z, s)
}

func redirectable(_ *fakeZone, s *Submission) { s.Redirectable = true }

func tooLarge(_ *fakeZone, s *Submission) { s.Job.Steps[0].Resources.MilliCPU = 40_000 }

func otherService(_ *fakeZone, s *Submission) { s.Service = "other" }

func tooLate(z *fakeZone, s *Submission) {
	s.Objective, s.LateUntil = z.now.Add(10*time.Millisecond), z.now.Add(20*time.Millisecond)
}

func withRunningJob(c *qt.C) *fakeZone {
	z := freeZone(c)
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	return z
}

func heldZone(c *qt.C) *fakeZone {
	z := freeZone(c)
	z.scheduler.SetHeld(true, z.now)
	return z
}

// start returns the zone of the case without pending decisions, and the job.
func (p *previewCase) start(c *qt.C) (*fakeZone, Submission) {
	z := p.zone(c)
	z.scheduler.Tick(z.now)
	z.scheduler.Take()
	submission := z.submission(previewedJob, p.tasks)
	if p.change != nil {
		p.change(z, &submission)
	}
	return z, submission
}

// submit submits the job as a home does, and returns the decisions until it has waited
// for long enough to be redirected.
func submit(z *fakeZone, submission Submission) (outputs []Output) {
	z.scheduler.Submit(submission, z.now)
	z.scheduler.CheckAdmission(submission.Job.ID, z.now)
	outputs = append(outputs, z.scheduler.Take())
	z.advance(0)
	outputs = append(outputs, z.scheduler.Take())
	z.advance(redirectDelay)
	return append(outputs, z.scheduler.Take())
}

// fingerprint describes the state that decides on later jobs.
func fingerprint(z *fakeZone) string {
	s := z.scheduler
	text := fmt.Sprintf("%d jobs, sequence %d, %d services, %d sent, %d redirected, %d results, %d starts, zones %v\n",
		len(s.jobs), s.lastSequence, len(s.services), len(s.sent), len(s.redirectedJobs), len(s.output.Results), len(s.output.Starts), s.remoteZones)
	for i := range len(s.targets) {
		t := s.targets[fmt.Sprintf("t%d", i)]
		text += fmt.Sprintf("%s: free %v, pooled %+v, %d runs\n", t.info.ID, t.free, t.pooled, len(t.runs))
	}
	state := s.services[testService]
	text += fmt.Sprintf("free %d, capacity %d, fits %v, %d groups, most free %v\n",
		state.pool.freeMilliCPU, state.pool.capacityMilliCPU, state.pool.fits, len(state.pool.groups), state.pool.maxFree())
	return text + fmt.Sprintf("queue: %d jobs, %d tasks, work %v, %d classes\n", state.queue.jobs, state.queue.tasks, state.queue.work, len(state.queue.classes))
}

// TestPreview guards against a preview that differs from what happens to the same job
// when it is submitted, and against one that changes what happens.
func TestPreview(t *testing.T) {
	for name, test := range previewCases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			z, submission := test.start(c)
			before := fingerprint(z)
			preview := z.scheduler.Preview(submission, z.now)
			c.Assert(z.scheduler.Preview(submission, z.now), qt.DeepEquals, preview)
			c.Assert(fingerprint(z), qt.Equals, before)
			c.Assert(preview.Outcome, qt.Equals, test.want, qt.Commentf("%+v", preview))
			c.Assert(preview.Reason, qt.Not(qt.Equals), "")
			c.Assert(preview.Zone, qt.Equals, test.zoneName)
			c.Assert(preview.StartingTasks, qt.Equals, test.starting)

			// The other zone is the same without a preview.
			other, otherSubmission := test.start(c)
			outputs := submit(z, submission)
			c.Assert(outputsOf(outputs), qt.DeepEquals, outputsOf(submit(other, otherSubmission)))
			checkPreview(c, preview, outputs)
		})
	}
}

// TestPreviewOfRandomJobs guards against a preview that differs from what happens to the
// job in zones with other jobs of several sizes, priorities and deadlines.
func TestPreviewOfRandomJobs(t *testing.T) {
	outcomes := map[PreviewOutcome]int{}
	for seed := range uint64(500) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		z := newReconciledZone(c, 1+random.IntN(4))
		if random.IntN(2) == 0 {
			z.scheduler.SetRemoteZones([]RemoteZone{{Zone: "b", FreeMilliCPU: random.IntN(100_000)}, {Zone: "c", FreeMilliCPU: random.IntN(100_000)}})
		} else if random.IntN(2) == 0 {
			z.scheduler.SetRemoteZones([]RemoteZone{roomyZone("b", 3, random.IntN(20_000), PriorityWait{0, random.Int64N(100)}, PriorityWait{1, random.Int64N(1000)})})
		}
		for i := range random.IntN(30) {
			z.scheduler.Submit(randomSubmission(z, random, fmt.Sprintf("%016x", i+1)), z.now)
			z.advance(time.Duration(random.IntN(4)) * time.Millisecond)
		}
		z.scheduler.Take()
		submission := randomSubmission(z, random, previewedJob)
		before := fingerprint(z)
		preview := z.scheduler.Preview(submission, z.now)
		c.Assert(fingerprint(z), qt.Equals, before, qt.Commentf("seed %d", seed))
		outcomes[preview.Outcome]++
		// A tick that follows may decide otherwise: the slack of the job becomes less, and
		// other jobs may be redirected before it.
		outputs := submit(z, submission)[:2]
		if preview.After > 0 {
			preview.Outcome = PreviewWaits
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkPreview(qt.New(t), preview, outputs) })
	}
	c := qt.New(t)
	for _, outcome := range []PreviewOutcome{PreviewStarts, PreviewWaits, PreviewRedirected, PreviewRefused} {
		c.Check(outcomes[outcome] > 20, qt.IsTrue, qt.Commentf("%v", outcomes))
	}
}

// randomSubmission returns a job with one or two steps.
func randomSubmission(z *fakeZone, random *rand.Rand, id string) Submission {
	submission := z.submission(id, 1+random.IntN(4))
	step := &submission.Job.Steps[0]
	step.Resources.MilliCPU = 2000 + random.IntN(20_000)
	step.Estimate = time.Duration(10+random.IntN(300)) * time.Millisecond
	step.Gang = random.IntN(4) == 0
	if random.IntN(4) == 0 {
		second := *step
		second.Gang = false
		if random.IntN(2) == 0 {
			second.After = []int{0}
		}
		submission.Job.Steps = append(submission.Job.Steps, second)
	}
	submission.Priority = random.IntN(3)
	submission.Redirectable = random.IntN(2) == 0
	objective := time.Duration(random.IntN(1000)) * time.Millisecond
	submission.Objective, submission.LateUntil = z.now.Add(objective), z.now.Add(3*objective)
	return submission
}

// outputsOf returns the decisions without pointers to targets.
func outputsOf(outputs []Output) (list []string) {
	for _, output := range outputs {
		for _, start := range output.Starts {
			list = append(list, fmt.Sprint("start ", start.Task, start.Attempt, start.Target.ID))
		}
		for _, result := range output.Results {
			list = append(list, fmt.Sprint("end ", result.JobID, result.Outcome, result.Zone, result.Reason, result.RetryAfter))
		}
	}
	return list
}

// checkPreview checks a preview against the decisions on the job.
func checkPreview(c *qt.C, preview Preview, outputs []Output) {
	c.Helper()
	var starts []StartRequest
	var result *JobResult
	for _, output := range outputs {
		starts = append(starts, output.Starts...)
		for i := range output.Results {
			if output.Results[i].JobID == previewedJob {
				result = &output.Results[i]
			}
		}
	}
	c.Assert(starts, qt.HasLen, preview.StartingTasks)
	for i, planned := range preview.Starts {
		c.Check(starts[i].Task, qt.Equals, planned.Task)
		c.Check(starts[i].Target.ID, qt.Equals, planned.Target)
	}
	switch preview.Outcome {
	case PreviewStarts, PreviewWaits:
		c.Assert(result, qt.IsNil)
	case PreviewRedirected:
		c.Assert(result, qt.IsNotNil)
		c.Check(result.Outcome, qt.Equals, Redirected)
		c.Check(result.Zone, qt.Equals, preview.Zone)
		c.Check(result.Reason, qt.Equals, preview.Reason)
		c.Check(result.Elapsed, qt.Equals, preview.After.Std())
	default:
		c.Assert(result, qt.IsNotNil)
		c.Check(result.Outcome, qt.Equals, Refused)
		c.Check(result.Reason, qt.Equals, preview.Reason)
		c.Check(result.RetryAfter, qt.Equals, preview.RetryAfter.Std())
	}
}

// TestPreviewOfKnownJob guards against the preview of a second run of a job that is in
// progress or was redirected.
func TestPreviewOfKnownJob(t *testing.T) {
	c := qt.New(t)
	z := freeZone(c)
	submission := z.submission(jobA, 1)
	z.scheduler.Submit(submission, z.now)
	c.Check(z.scheduler.Preview(submission, z.now).Outcome, qt.Equals, PreviewJoins)
	c.Check(z.scheduler.Take().Starts, qt.HasLen, 1)

	full := withRoomElsewhere(queuedZone(0))(c)
	submission = full.submission(previewedJob, 1)
	submission.Redirectable = true
	submit(full, submission)
	full.scheduler.SetRemoteZones(nil)
	preview := full.scheduler.Preview(submission, full.now)
	c.Check(preview.Outcome, qt.Equals, PreviewRedirected)
	c.Check(preview.Zone, qt.Equals, "b")
	c.Check(preview.Reason, qt.Equals, "redirected before")
}

// TestPreviewOfLargeGang guards against a preview that keeps the home from its work for as
// long as the placement of a large gang takes.
func TestPreviewOfLargeGang(t *testing.T) {
	c := qt.New(t)
	z := newReconciledZone(c, 300)
	submission := z.submission(previewedJob, 700)
	submission.Job.Steps[0].Gang = true
	submission.Job.Steps[0].Resources.MilliCPU = 7000
	preview := z.scheduler.Preview(submission, z.now)
	c.Check(preview.Outcome, qt.Equals, PreviewUnknown)
	c.Check(preview.Reason, qt.Equals, "the gang is too large for a preview")
	submission.Job.Steps[0].Count = 600
	c.Check(z.scheduler.Preview(submission, z.now).StartingTasks, qt.Equals, 600)
}

// TestPreviewStatesAges guards against a preview that does not tell how old the listings
// and the reports of other zones are.
func TestPreviewStatesAges(t *testing.T) {
	c := qt.New(t)
	z := withRoomElsewhere(freeZone)(c)
	z.advance(50 * time.Millisecond)
	preview := z.scheduler.Preview(z.submission(previewedJob, 1), z.now)
	c.Assert(preview.Targets.Known, qt.Equals, 2)
	c.Assert(preview.Targets.Usable, qt.Equals, 2)
	c.Assert(preview.Targets.NewestListing.Std(), qt.Equals, 51*time.Millisecond)
	c.Assert(preview.Targets.OldestListing.Std(), qt.Equals, 53*time.Millisecond)
	c.Assert(preview.Zones, qt.HasLen, 2)
	c.Assert(preview.Zones[0].Age.Std(), qt.Equals, 150*time.Millisecond)
	c.Assert(preview.Zones[0].HasRoom, qt.IsTrue)
	c.Assert(preview.Zones[1].Age, qt.IsNil)
	c.Assert(preview.Zones[1].HasRoom, qt.IsFalse)
}

// TestPreviewFormat guards against a preview that changes on its way between instances,
// and against an outcome of a later version that is taken for another one.
func TestPreviewFormat(t *testing.T) {
	c := qt.New(t)
	z := withRoomElsewhere(queuedZone(20))(c)
	submission := z.submission(previewedJob, 1)
	submission.Priority = 1
	preview := z.scheduler.Preview(submission, z.now)
	data, err := json.Marshal(preview)
	c.Assert(err, qt.IsNil)
	var decoded Preview
	c.Assert(json.Unmarshal(data, &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, preview)
	c.Assert(json.Unmarshal([]byte(`{"Outcome":"Postponed"}`), &decoded), qt.IsNil)
	c.Assert(decoded.Outcome, qt.Equals, PreviewUnknown)
}

// BenchmarkPreview measures how long a preview keeps the home of a large zone from other
// work.
func BenchmarkPreview(b *testing.B) {
	z := newReconciledZone(qt.New(b), 8700)
	for name, change := range map[string]func(*fakeZone, *Submission){"Tasks": func(*fakeZone, *Submission) {}, "Gang": inGang} {
		for _, tasks := range []int{1, 64, 1000} {
			submission := z.submission(previewedJob, tasks)
			submission.Objective, submission.LateUntil, submission.Deadline = z.now.Add(time.Hour), z.now.Add(time.Hour), z.now.Add(time.Hour)
			change(z, &submission)
			b.Run(fmt.Sprintf("%s/%d", name, tasks), func(b *testing.B) {
				for b.Loop() {
					z.scheduler.Preview(submission, z.now)
				}
			})
		}
	}
}
