package rattancmd_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// killZone kills all instances of zone a at once, as a loss of power does.
func (h *heldStart) killZone() (killed []*serveInstance) {
	killed = append(h.followers("a", h.home), h.home)
	h.killAll(killed)
	return killed
}

func (h *heldStart) killAll(instances []*serveInstance) {
	for _, instance := range instances {
		_ = instance.Signal(syscall.SIGKILL)
	}
	for _, instance := range instances {
		<-instance.Ended()
	}
}

// resend sends the job again to an instance, as its caller does if it got no answer.
func (h *heldStart) resend(instance *serveInstance) <-chan serveAnswer {
	time.Sleep(time.Until(h.heldAt.Add(resendDelay)))
	return h.submitLateJob(instance, lateJob, lateJobTime)
}

// TestServeLateStartOfZoneKilledAtOnce guards against a second run of a task: a whole
// zone is lost just after a start without an answer, and the job is sent to another
// one while the next incarnation of the target carries the start out.
func TestServeLateStartOfZoneKilledAtOnce(t *testing.T) {
	t.Parallel()
	held := holdFirstStart(t, 1)
	held.killZone()
	answers := held.resend(held.homeOf("b"))
	held.restartAt(startDelay + time.Second)
	answer := <-answers
	held.Logf("%d starts, answer %d %s", held.checker.StartsOf(lateJob), answer.Status, answer.Body)
	held.Check(answer.Status, qt.Equals, http.StatusGatewayTimeout)
}

// TestServeLateStartOfZoneKilledAndRestarted guards against the same where the zone is
// back at once, and the job is sent to it again.
func TestServeLateStartOfZoneKilledAndRestarted(t *testing.T) {
	t.Parallel()
	held := holdFirstStart(t, 1)
	killed := held.killZone()
	held.cutOff()
	for _, instance := range killed {
		held.start(instance)
	}
	for _, instance := range killed {
		held.waitReady(instance)
	}
	answers := held.resend(killed[0])
	held.restartAt(startDelay + time.Second)
	held.checkAnswer(answers)
}

// TestServeLateStartOfHomeAndSuccessorKilled guards against the same where the instance
// that would have succeeded the home is killed with it.
func TestServeLateStartOfHomeAndSuccessorKilled(t *testing.T) {
	t.Parallel()
	held := holdFirstStart(t, 1)
	last := held.followers("a", held.home)[1]
	held.killAll([]*serveInstance{held.home, held.entry})
	held.cutOff()
	answers := held.resend(last)
	held.restartAt(startDelay + time.Second)
	held.checkAnswer(answers)
}
