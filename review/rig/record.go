package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the events of a scenario, with the time since its start.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// line records an event that happens now.
func (r *recorder) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The record is only evidence: a failed write does not change the result.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *recorder) close() {
	_ = r.file.Close()
}
