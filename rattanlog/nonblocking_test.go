package rattanlog

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(data)
}

// TestNonBlockingWriter guards against a slow output that blocks the goroutines
// that write log lines or lets the buffer grow without limit.
func TestNonBlockingWriter(t *testing.T) {
	c := qt.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	writer := NewNonBlockingWriter(output)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	const lines = 4 * maxBufferedBytes / 1024
	for range lines {
		n, err := writer.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	close(output.release)
	writer.Close()
	c.Check(writer.Dropped.Load() > 0, qt.IsTrue)
	c.Check(writer.Accepted.Load()+writer.Dropped.Load(), qt.Equals, uint64(lines))
	c.Check(output.Len(), qt.Equals, 1024*int(writer.Accepted.Load()))
}

// TestCloseIsBounded guards against a process that cannot end within its grace
// period because nobody reads its output.
func TestCloseIsBounded(t *testing.T) {
	c := qt.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	defer close(output.release)
	writer := NewNonBlockingWriter(output)
	_, err := writer.Write([]byte("last line\n"))
	c.Assert(err, qt.IsNil)
	closed := make(chan struct{})
	go func() {
		writer.Close()
		close(closed)
	}()
	// It is what an instance has left of its grace period after its servers and
	// services have been given their time.
	const maxCloseTime = 200 * time.Millisecond
	select {
	case <-closed:
	case <-time.After(maxCloseTime):
		c.Errorf("the writer is not closed after %v", maxCloseTime)
	}
}
