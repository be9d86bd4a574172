package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// startDelay is how long the start is delayed, crashTime how long the worker
	// is down at the end of it.
	startDelay = 3 * time.Second
	crashTime  = 500 * time.Millisecond
	// overlapTolerance covers the recording of the events.
	overlapTolerance = 5 * time.Millisecond
)

// lateStartRunsTwice delays one start. Its worker crashes meanwhile and starts again
// under its id, and the start is carried out then.
func lateStartRunsTwice(d *deployment, trouble bool) (bool, error) {
	if trouble {
		for _, w := range d.workers {
			w.mutex.Lock()
			w.holdsStart = true
			w.mutex.Unlock()
		}
	}
	job := newJobID()
	body := jobBody([]step{{count: 1, cpu: 14000, work: 6 * time.Second}})
	answered := make(chan answer, 1)
	go func() {
		answered <- d.send(context.Background(), d.instances[0], http.MethodPost, job, body, postLimit)
	}()
	if trouble {
		delayed, err := d.delayedWorker()
		if err != nil {
			return false, err
		}
		time.Sleep(startDelay - crashTime)
		delayed.crash()
		time.Sleep(crashTime)
		if err := delayed.restart(); err != nil {
			return false, err
		}
	}
	<-answered
	return d.overlaps(job), nil
}

// delayedWorker returns the worker that has kept a start back, and lets all others
// carry out theirs.
func (d *deployment) delayedWorker() (*worker, error) {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, w := range d.workers {
			w.mutex.Lock()
			held := w.heldStart != nil
			w.mutex.Unlock()
			if !held {
				continue
			}
			for _, other := range d.workers {
				other.mutex.Lock()
				other.holdsStart = false
				other.mutex.Unlock()
			}
			return w, nil
		}
	}
	return nil, errNoAnswer
}

// overlaps reports whether two runs of one task of the job were under way at the
// same time.
func (d *deployment) overlaps(job string) bool {
	type interval struct {
		start, end runEvent
	}
	var runs []interval
	for _, w := range d.workers {
		var open []runEvent
		for _, event := range w.history() {
			switch {
			case event.task[:len(job)] != job:
			case event.outcome == "":
				open = append(open, event)
			default:
				for i, start := range open {
					if start.task == event.task && start.attempt == event.attempt {
						runs = append(runs, interval{start, event})
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			}
		}
	}
	broken := false
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			begin, end := later(a.start.at, b.start.at), earlier(a.end.at, b.end.at)
			if a.start.task == b.start.task && end.Sub(begin) > overlapTolerance {
				d.record.line("TWICE: task %s runs on %s (attempt %d) and on %s (attempt %d) at the same time, for %.3f s",
					a.start.task, a.start.worker, a.start.attempt, b.start.worker, b.start.attempt, end.Sub(begin).Seconds())
				broken = true
			}
		}
	}
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
