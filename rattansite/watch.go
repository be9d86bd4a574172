package rattansite

import (
	"fmt"
	"sync"
	"time"
)

// TaskProfile is what each task of a job takes.
type TaskProfile struct {
	MilliCPU int
	Duration time.Duration
}

// InvariantChecker checks what can be seen from the targets and the callers: no task runs
// twice at the same time, no room is overrun, nothing runs that nobody asked
// for, no job that was refused has run, and complete jobs are complete.
type InvariantChecker struct {
	mutex      sync.Mutex
	work       map[string]TaskProfile
	running    map[string]string
	begun      map[string]bool
	done       map[string]bool
	violations []string
	starts     int
}

// NewInvariantChecker returns a watch that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{work: map[string]TaskProfile{}, running: map[string]string{}, begun: map[string]bool{}, done: map[string]bool{}}
}

// JobSubmitted records that a caller sends a job.
func (w *InvariantChecker) JobSubmitted(jobID string, profile TaskProfile) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.work[jobID] = profile
}

// JobRefused records that a caller was told that its job has not run.
func (w *InvariantChecker) JobRefused(jobID string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.begun[jobID] {
		w.violate("job %s was refused and has run", jobID)
	}
}

// JobSucceeded records that a caller was told that its job of so many tasks is
// complete.
func (w *InvariantChecker) JobSucceeded(jobID string, tasks int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for index := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", jobID, index)
		if !w.done[task] {
			w.violate("job %s was called complete without task %s", jobID, task)
		}
	}
}

// Starts returns the number of runs that targets have started.
func (w *InvariantChecker) Starts() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.starts
}

// Violations returns the promises that were broken.
func (w *InvariantChecker) Violations() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.violations...)
}

func (w *InvariantChecker) taskProfile(task string) TaskProfile {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.work[jobOf(task)]
}

func (w *InvariantChecker) started(target, task string, overrun bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.starts++
	w.begun[jobOf(task)] = true
	if _, ok := w.work[jobOf(task)]; !ok {
		w.violate("task %s was started and nobody asked for it", task)
	}
	if other, ok := w.running[task]; ok {
		w.violate("task %s runs on %s and %s", task, other, target)
	}
	if overrun {
		w.violate("target %s has more work than room with task %s", target, task)
	}
	w.running[task] = target
}

func (w *InvariantChecker) ended(target, task, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if how == endDone {
		w.done[task] = true
	}
	if w.running[task] == target {
		delete(w.running, task)
	}
}

func (w *InvariantChecker) violate(format string, arguments ...any) {
	w.violations = append(w.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}
