package rattanoverload

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOrdinaryLargeBody guards against a crowd of large bodies that stop short of their
// end and keep out an ordinary caller whose body is large too.
func TestOrdinaryLargeBody(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	home := s.Home(zone)
	s.Assert(home, qt.IsNotNil)
	body := paddedJob(earlierBytes)
	s.testMachine(crowd{callers: refusalCallers, newCaller: everyCaller(pieces(paddedJob(bodyBytes), missingBytes))}, func() {
		id := newJobID(s.Checker)
		answered := false
		for end := time.Now().Add(ordinaryTime); !answered && time.Now().Before(end); time.Sleep(repeatDelay) {
			answered = s.send(home, id, body) == http.StatusOK
		}
		s.Check(answered, qt.IsTrue)
	})
}
