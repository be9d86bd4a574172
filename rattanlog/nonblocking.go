package rattanlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes limits the size of the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// flushInterval is the longest time from the arrival of a line to the start
	// of its flush. All lines of an interval are written with one call.
	flushInterval = 100 * time.Millisecond
	// closeTimeout bounds the time for writing the last lines, so that an output
	// that nobody reads does not keep a process from ending.
	closeTimeout = 150 * time.Millisecond
)

// NonBlockingWriter is an io.Writer whose Write does not wait for the output:
// lines are buffered, and dropped and counted while the buffer is full. It is
// safe for concurrent use.
type NonBlockingWriter struct {
	// Dropped counts the lines that were dropped.
	Dropped atomic.Uint64
	// Accepted counts the lines that were accepted into the buffer.
	Accepted atomic.Uint64

	output  io.Writer
	closing chan struct{}
	closed  chan struct{}

	mutex  sync.Mutex
	buffer []byte
	// spare is the buffer of the previous flush, which the next flush reuses.
	spare []byte
	// wake receives a value when the first line enters the empty buffer.
	wake chan struct{}
}

// NewNonBlockingWriter returns a writer to output. Close must be called to
// release it.
func NewNonBlockingWriter(output io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{output: output, closing: make(chan struct{}), closed: make(chan struct{}), wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write buffers one line or drops it if the buffer is full. It never returns an
// error.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.mutex.Unlock()
		w.Dropped.Add(1)
		return len(line), nil
	}
	wasEmpty := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	w.mutex.Unlock()
	w.Accepted.Add(1)
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the writer. It does not wait longer
// than closeTimeout for an output that takes no lines; these are lost.
func (w *NonBlockingWriter) Close() {
	close(w.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.closed:
	case <-timer.C:
	}
}

func (w *NonBlockingWriter) run() {
	defer close(w.closed)
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-w.closing:
		case <-timer.C:
		}
		timer.Stop()
		w.flush()
	}
}

func (w *NonBlockingWriter) flush() {
	w.mutex.Lock()
	lines := w.buffer
	w.buffer = w.spare[:0]
	w.mutex.Unlock()
	if len(lines) > 0 {
		// The error is ignored because the log output itself has failed, so
		// there is no place to report it.
		_, _ = w.output.Write(lines)
	}
	w.spare = lines
}
