package rattanscheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// maxCrashingStarts is the number of starts up to which a task that crashes its
// targets stays within the users' limit: fewer than three more after three
// targets have crashed under it.
const maxCrashingStarts = 5

// crash makes the target of a start silent until its leases have expired.
func (z *fakeZone) crash(start StartRequest) {
	z.advance(1030 * time.Millisecond)
	z.scheduler.TargetUnresponsive(start.Target.ID, true, z.now)
}

// patientSubmission returns a job whose caller waits for a minute.
func (z *fakeZone) patientSubmission(id string) Submission {
	submission := z.submission(id, 1)
	submission.Objective = z.now.Add(20 * time.Second)
	submission.LateUntil = z.now.Add(time.Minute)
	submission.Deadline = z.now.Add(time.Minute)
	return submission
}

// TestTaskThatCrashesTargetsIsNotStartedAgain guards against a task that crashes
// target after target, whether or not its start was answered.
func TestTaskThatCrashesTargetsIsNotStartedAgain(t *testing.T) {
	for name, result := range map[string]rattanwork.StartResult{
		"start answered":   rattanwork.StartAccepted,
		"start unanswered": rattanwork.StartUnknown,
	} {
		t.Run(name, func(t *testing.T) {
			z := newReconciledZone(qt.New(t), 12)
			z.scheduler.Submit(z.patientSubmission(jobA), z.now)
			starts := 0
			for range 10 {
				for _, start := range z.scheduler.Take().Starts {
					starts++
					z.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: result}, z.now)
					z.crash(start)
				}
			}
			z.Assert(starts <= maxCrashingStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
		})
	}
}
