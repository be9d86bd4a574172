package rattanhome

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// TestPresence guards against a home that takes a job for absent which it has run, also
// after it has forgotten the result, and that refuses such a job as one that has not run.
func TestPresence(t *testing.T) {
	c := qt.New(t)
	h := newTestHome(c, newFakeTargets(time.Millisecond))
	awaitListing(h)
	ran, other := testSubmission(1), testSubmission(2)
	c.Check(h.Presence(ran.Job.ID), qt.Equals, JobUncertain)
	h.mutex.Lock()
	h.history.latestSince = h.history.latestSince.Add(-historyRetention)
	h.history.previousSince = h.history.latestSince
	h.mutex.Unlock()
	c.Check(h.Presence(ran.Job.ID), qt.Equals, JobAbsent)
	result, err := h.Submit(context.Background(), ran)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Outcome, qt.Equals, rattanscheduler.Succeeded)
	c.Check(h.Presence(ran.Job.ID), qt.Equals, JobPresent)
	h.mutex.Lock()
	h.results = map[string]cachedResult{}
	h.mutex.Unlock()
	c.Check(h.Presence(ran.Job.ID), qt.Equals, JobPresent)
	for submission, started := range map[*rattanscheduler.Submission]bool{&ran: true, &other: false} {
		result, err := h.Submit(WithoutRoom(context.Background()), *submission)
		c.Assert(err, qt.IsNil)
		c.Check(result.Outcome, qt.Equals, rattanscheduler.Refused)
		c.Check(result.MayHaveStarted, qt.Equals, started)
	}
	c.Check(h.Presence(other.Job.ID), qt.Equals, JobAbsent)
	h.Close()
	c.Check(h.Presence(other.Job.ID), qt.Equals, JobUncertain)
}

// TestRedirectedJobMayBeRefused guards against a job whose outcome counts as unknown
// because it was redirected to another zone, which has refused it.
func TestRedirectedJobMayBeRefused(t *testing.T) {
	c := qt.New(t)
	h := newTestHome(c, newFakeTargets(time.Millisecond))
	waiter := make(chan rattanscheduler.JobResult, 1)
	h.mutex.Lock()
	h.handleResult(rattanscheduler.JobResult{JobID: "a", Outcome: rattanscheduler.Redirected}, h.now())
	h.waiters["a"] = append(h.waiters["a"], waiter)
	h.handleResult(rattanscheduler.JobResult{JobID: "a", Outcome: rattanscheduler.Refused}, h.now())
	h.mutex.Unlock()
	c.Check((<-waiter).MayHaveStarted, qt.IsFalse)
}

// TestJobHistory guards against a home that takes a job for absent which has ended lately
// or may have run before the home was elected, and against one that never learns that a
// job is absent.
func TestJobHistory(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	at := func(elapsed time.Duration) time.Time { return start.Add(elapsed) }
	h := newJobHistory(start)
	c.Check(h.presence("a", at(historyRetention-1)), qt.Equals, JobUncertain)
	c.Check(h.presence("a", at(historyRetention)), qt.Equals, JobAbsent)
	h.add("a", at(historyRetention-1))
	c.Check(h.presence("a", at(2*historyRetention-2)), qt.Equals, JobPresent)
	h.add("b", at(historyRetention))
	h.add("c", at(2*historyRetention-2))
	c.Check(h.presence("a", at(2*historyRetention-2)), qt.Equals, JobPresent)
	c.Check(h.presence("x", at(2*historyRetention-2)), qt.Equals, JobAbsent)
	h.add("d", at(3*historyRetention))
	c.Check(h.presence("c", at(3*historyRetention)), qt.Equals, JobPresent)
	c.Check(h.presence("x", at(3*historyRetention)), qt.Equals, JobAbsent)
}

// TestJobHistoryIsBounded guards against a history that grows without a bound, and against
// one that has forgotten jobs and takes them for absent.
func TestJobHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	h := newJobHistory(start)
	h.add("first", start)
	for i := range 3 * maxGeneration {
		h.add(fmt.Sprint(i), start.Add(2*historyRetention))
	}
	c.Check(len(h.latest)+len(h.previous) <= 2*maxGeneration, qt.IsTrue)
	c.Check(h.presence("first", start.Add(2*historyRetention)), qt.Equals, JobUncertain)
	c.Check(h.presence("first", start.Add(3*historyRetention)), qt.Equals, JobAbsent)
}
