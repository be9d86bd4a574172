package rattanlimit

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefusedConnectionsTakeNoGoroutines guards against connections of refused callers
// that keep a goroutine and the buffers of the server after their answer, and against
// such connections that are not counted while they are open.
func TestRefusedConnectionsTakeNoGoroutines(t *testing.T) {
	const connections = 50
	s := newTestServer(t, NewBudget(1000, 0), 2*connections)
	before := runtime.NumGoroutine()
	for range connections {
		_ = s.send(post(testLimit) + strings.Repeat("x", 1000))
	}
	s.waitFor("refusals", func() bool { return s.journal.count(BodyRefused) == connections })
	time.Sleep(lingerTime / 5)
	goroutines := runtime.NumGoroutine() - before
	s.Check(goroutines < connections/2, qt.IsTrue, qt.Commentf("%d goroutines", goroutines))
	s.Check(s.connections.Len(), qt.Equals, connections)
	s.waitFor("end of all connections", func() bool { return s.connections.Len() == 0 })
}

// TestRefusedCallerReadsAnswer guards against a caller that is reset before it has read
// the answer, because it has sent more than was read.
func TestRefusedCallerReadsAnswer(t *testing.T) {
	s := newTestServer(t, NewBudget(1000, 0), 10)
	connection := s.send(post(testLimit))
	time.Sleep(lingerTime / 5)
	_, err := io.WriteString(connection, strings.Repeat("x", 1000))
	s.Assert(err, qt.IsNil)
	answer, elapsed := s.answer(connection)
	s.Check(answer, qt.Contains, "503")
	s.Check(elapsed < lingerTime, qt.IsTrue, qt.Commentf("%v", elapsed))
}
