package rattanlog

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter never returns from Write until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(data)
}

// TestBounded guards against a slow output that blocks whoever logs or takes
// memory without bound.
func TestBounded(t *testing.T) {
	c := qt.New(t)
	output := &blockedWriter{release: make(chan struct{})}
	bounded := NewNonBlockingWriter(output)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	const lines = 4 * boundedLimit / 1024
	for range lines {
		n, err := bounded.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	close(output.release)
	bounded.Close()
	c.Check(bounded.Dropped.Load() > 0, qt.IsTrue)
	c.Check(bounded.Written.Load()+bounded.Dropped.Load(), qt.Equals, uint64(lines))
	c.Check(output.Len(), qt.Equals, 1024*int(bounded.Written.Load()))
}
