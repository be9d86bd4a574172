package rattanscheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// roomyZone returns a zone with targets that have the given processor capacity free.
func roomyZone(name string, targets, milliCPU int, waits ...PriorityWait) RemoteZone {
	room := ServiceRoom{Service: testService, MilliCPU: 32000 * targets, Waits: waits}
	for range targets {
		room.Fits.add(milliCPU, 1)
	}
	return RemoteZone{Zone: name, FreeMilliCPU: targets * milliCPU, Rooms: []ServiceRoom{room}}
}

// fullZone returns a zone whose only target is full, and which refuses further jobs.
func fullZone(c *qt.C, others ...RemoteZone) *fakeZone {
	z := newReconciledZone(c, 1)
	z.scheduler.SetRemoteZones(others)
	z.scheduler.Submit(z.submission(jobB, 2), z.now)
	z.Assert(z.scheduler.Take().Starts, qt.HasLen, 2)
	return z
}

// redirected submits jobs of one task each that are refused here, and counts by zone where
// they are redirected.
func (z *fakeZone) redirected(jobs int, change func(*Submission)) map[string]int {
	counts := map[string]int{}
	for i := range jobs {
		submission := z.submission(fmt.Sprintf("%016x", 1+i), 1)
		submission.Redirectable = true
		change(&submission)
		z.scheduler.Refuse(submission, "refused", time.Second, z.now)
	}
	for _, result := range z.scheduler.Take().Results {
		counts[result.Zone]++
	}
	return counts
}

func unchanged(*Submission) {}

// TestZoneIsChosenByWhatFits guards against a redirect to a zone whose free capacity is in
// pieces that are too small for the tasks.
func TestZoneIsChosenByWhatFits(t *testing.T) {
	z := fullZone(qt.New(t), roomyZone("pieces", 100, 13000), roomyZone("room", 4, 16000))
	z.scheduler.remoteZones[0].Rooms[0].MilliCPU = 1
	z.Check(z.redirected(3, unchanged), qt.DeepEquals, map[string]int{"room": 3})
}

// TestChoiceSpreadsJobs guards against herds: all jobs go to the zone that has the most
// room although others have room too, or more go to a zone than it has room for.
func TestChoiceSpreadsJobs(t *testing.T) {
	z := fullZone(qt.New(t), roomyZone("large", 60, 16000), roomyZone("small", 30, 16000))
	counts := z.redirected(60, unchanged)
	z.Check(counts["large"]+counts["small"], qt.Equals, 60)
	z.Check(counts["large"] > counts["small"], qt.IsTrue, qt.Commentf("%v", counts))
	z.Check(counts["small"] >= 10, qt.IsTrue, qt.Commentf("%v", counts))
	z.Check(counts["small"] <= 30, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestSentJobsAreSubtracted guards against sending more to a zone than it has room for,
// because its report is older than the redirects, and against subtracting them for ever.
func TestSentJobsAreSubtracted(t *testing.T) {
	zone := roomyZone("b", 4, 16000)
	zone.Rooms[0].MilliCPU = 1 // No job waits for room there.
	zone.ReportedAt = time.Unix(1_800_000_000, 0)
	z := fullZone(qt.New(t), zone)
	z.Check(z.redirected(3, unchanged), qt.DeepEquals, map[string]int{"b": 3})
	z.scheduler.SetRemoteZones([]RemoteZone{zone})
	z.Check(z.redirected(3, unchanged), qt.DeepEquals, map[string]int{"b": 1, "": 2})
	zone.ReportedAt = z.now.Add(time.Second)
	z.scheduler.SetRemoteZones([]RemoteZone{zone})
	z.Check(z.redirected(4, unchanged), qt.DeepEquals, map[string]int{"b": 4})
	z.Check(zone.Rooms[0].Fits.of(16000), qt.Equals, 4, qt.Commentf("the report itself has changed"))
}

// TestZoneSuits guards against redirects to zones where a job cannot run in time or that
// have refused it, and against a refusal although a zone suits.
func TestZoneSuits(t *testing.T) {
	tests := map[string]struct {
		zone   RemoteZone
		change func(*Submission)
		want   bool
	}{
		"room":                      {zone: roomyZone("b", 1, 32000), change: unchanged, want: true},
		"refused there":             {zone: roomyZone("b", 1, 32000), change: func(s *Submission) { s.Tried = []string{"b"} }},
		"may not be redirected":     {zone: roomyZone("b", 1, 32000), change: func(s *Submission) { s.Redirectable = false }},
		"another service":           {zone: roomyZone("b", 1, 32000), change: func(s *Submission) { s.Service = "other" }},
		"no value on its arrival":   {zone: roomyZone("b", 1, 32000), change: func(s *Submission) { s.Deadline = s.Deadline.Add(-1905 * time.Millisecond) }},
		"too long on the way":       {zone: roomyZone("b", 1, 32000), change: func(s *Submission) { s.Job.Spec = string(make([]byte, 3_000_000)) }},
		"room after a wait":         {zone: roomyZone("b", 1, 32000, PriorityWait{0, 200}), change: unchanged, want: true},
		"too long a wait":           {zone: roomyZone("b", 1, 32000, PriorityWait{0, 2000}), change: unchanged},
		"only less urgent ones":     {zone: roomyZone("b", 1, 32000, PriorityWait{1, 2000}), change: unchanged, want: true},
		"no room, short wait":       {zone: roomyZone("b", 1, 0, PriorityWait{0, 100}), change: unchanged, want: true},
		"no room, objective missed": {zone: roomyZone("b", 1, 0, PriorityWait{0, 250}), change: unchanged},
		"former version":            {zone: RemoteZone{Zone: "b", FreeMilliCPU: 14000}, change: unchanged, want: true},
		"former version, full":      {zone: RemoteZone{Zone: "b", FreeMilliCPU: 13999}, change: unchanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := fullZone(qt.New(t), test.zone)
			z.Check(z.redirected(1, test.change)["b"], qt.Equals, map[bool]int{true: 1}[test.want])
		})
	}
}

// TestRedirectMustPay guards against redirects that cost more than the wait here: of a job
// that takes long to transmit, and to a zone where others wait.
func TestRedirectMustPay(t *testing.T) {
	tests := map[string]struct {
		zone  RemoteZone
		bytes int
		want  int
	}{
		"room":         {zone: roomyZone("b", 4, 32000), want: 1},
		"large job":    {zone: roomyZone("b", 4, 32000), bytes: 240_000},
		"others wait":  {zone: roomyZone("b", 4, 32000, PriorityWait{0, 60})},
		"room for one": {zone: roomyZone("b", 1, 16000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			z := fullZone(qt.New(t), test.zone)
			submission := z.submission(jobA, 1)
			submission.Redirectable = true
			submission.Job.Spec = string(make([]byte, test.bytes))
			z.scheduler.Submit(submission, z.now)
			z.advance(2 * redirectDelay)
			z.Check(z.scheduler.Take().Results, qt.HasLen, test.want)
		})
	}
}

// redirectedJob returns a zone that has redirected a job to zone b, and the submission.
func redirectedJob(c *qt.C) (*fakeZone, Submission) {
	z := fullZone(c, roomyZone("b", 1, 32000), roomyZone("c", 1, 32000))
	submission := z.submission(jobA, 1)
	submission.Redirectable, submission.Tried = true, []string{"c"}
	z.scheduler.Refuse(submission, "refused", time.Second, z.now)
	z.Assert(z.scheduler.Take().Results[0].Zone, qt.Equals, "b")
	submission.Tried = []string{"a", "b"}
	return z, submission
}

// TestRefusedJobTriesOtherZone guards against a job that is sent to the zone that has
// refused it, or is refused although a further zone has room.
func TestRefusedJobTriesOtherZone(t *testing.T) {
	z, submission := redirectedJob(qt.New(t))
	z.scheduler.SetEvacuation(rattanwork.EvacuationActive, z.now)
	z.scheduler.Take()
	z.scheduler.Submit(submission, z.now)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Zone, qt.Equals, "c")
	z.Check(results[0].MayHaveStarted, qt.IsFalse)
	submission.Tried = []string{"a", "b", "c"}
	z.scheduler.Submit(submission, z.now)
	results = z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Outcome, qt.Equals, Refused)
}

// TestRefusalDoesNotReleaseOtherSubmissions guards against two runs of a task in two zones:
// the zone that has refused one submission of a job may have accepted another one.
func TestRefusalDoesNotReleaseOtherSubmissions(t *testing.T) {
	tests := map[string]func(z *fakeZone, submission *Submission){
		"another submission has followed": func(z *fakeZone, _ *Submission) {
			other := z.submission(jobA, 1)
			other.Redirectable = true
			z.scheduler.Submit(other, z.now)
		},
		"the zone has told of a start": func(z *fakeZone, _ *Submission) {
			z.scheduler.AddRemoteStarts("b", []OutstandingStart{{Task: jobA + ".0.0.0", Target: "t", Attempt: 1, Remaining: time.Second}}, z.now)
		},
		"another submission is unsettled": func(_ *fakeZone, submission *Submission) { submission.Resumed = true },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			z, submission := redirectedJob(qt.New(t))
			prepare(z, &submission)
			z.scheduler.Take()
			z.scheduler.Submit(submission, z.now)
			results := z.scheduler.Take().Results
			z.Assert(results, qt.HasLen, 1)
			z.Check(results[0].Zone, qt.Equals, "b")
			z.Check(results[0].MayHaveStarted, qt.IsTrue)
		})
	}
}

// TestJoinedJobStaysWhereItWent guards against two runs of a task in two zones: two
// submissions waited for a job when it was redirected, and only one of them was refused.
func TestJoinedJobStaysWhereItWent(t *testing.T) {
	z := fullZone(qt.New(t), roomyZone("b", 4, 32000))
	submission := z.submission(jobA, 1)
	submission.Redirectable = true
	z.scheduler.Submit(submission, z.now)
	z.scheduler.Submit(submission, z.now)
	z.advance(2 * redirectDelay)
	z.Assert(z.scheduler.Take().Results[0].Zone, qt.Equals, "b")
	submission.Tried = []string{"a", "b"}
	z.scheduler.Submit(submission, z.now)
	results := z.scheduler.Take().Results
	z.Assert(results, qt.HasLen, 1)
	z.Check(results[0].Zone, qt.Equals, "b")
	z.Check(results[0].MayHaveStarted, qt.IsTrue)
}

// TestSearchElsewhereSkipsWhatFitsNowhere guards against a search in all zones for each of
// thousands of waiting jobs.
func TestSearchElsewhereSkipsWhatFitsNowhere(t *testing.T) {
	z := fullZone(qt.New(t), roomyZone("b", 50, 13000), roomyZone("c", 1, 16000))
	z.scheduler.Submit(z.submission(jobA, 1), z.now)
	z.now = z.now.Add(redirectDelay)
	elsewhere := z.scheduler.roomElsewhere(testService)
	z.Check(z.scheduler.service(testService).redirectable(&elsewhere, z.now), qt.HasLen, 0)
	elsewhere = FitCounts{}
	elsewhere.add(32000, 1)
	z.Check(z.scheduler.service(testService).redirectable(&elsewhere, z.now), qt.HasLen, 1)
}
