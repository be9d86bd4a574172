package rattanlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLimit is how many bytes of lines may wait for the output.
	boundedLimit = 256 << 10
	// flushInterval is how long a line waits at most; one write carries all
	// lines of the interval.
	flushInterval = 100 * time.Millisecond
)

// Bounded is a writer that never blocks: lines wait in a bounded buffer for the
// output and are dropped and counted while it is full. It is safe for
// concurrent use.
type Bounded struct {
	// Dropped counts the lines that were dropped.
	Dropped atomic.Uint64
	// Written counts the lines that were taken in.
	Written atomic.Uint64

	output io.Writer
	stop   chan struct{}
	done   chan struct{}

	mutex  sync.Mutex
	buffer []byte
	spare  []byte
	wake   chan struct{}
}

// NewNonBlockingWriter returns a writer to the output. Close ends it.
func NewNonBlockingWriter(output io.Writer) *Bounded {
	b := &Bounded{output: output, stop: make(chan struct{}), done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go b.run()
	return b
}

// Write takes in one line. It returns no error.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mutex.Lock()
	if len(b.buffer)+len(line) > boundedLimit {
		b.mutex.Unlock()
		b.Dropped.Add(1)
		return len(line), nil
	}
	first := len(b.buffer) == 0
	b.buffer = append(b.buffer, line...)
	b.mutex.Unlock()
	b.Written.Add(1)
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Close writes what waits and ends the writer.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	for {
		select {
		case <-b.stop:
			b.flush()
			return
		case <-b.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-b.stop:
		case <-timer.C:
		}
		timer.Stop()
		b.flush()
	}
}

func (b *Bounded) flush() {
	b.mutex.Lock()
	lines := b.buffer
	b.buffer = b.spare[:0]
	b.mutex.Unlock()
	if len(lines) > 0 {
		// A failing standard output leaves nowhere to report the failure to.
		_, _ = b.output.Write(lines)
	}
	b.spare = lines
}
