package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

// Figures of a small deployment, as in the users' site files.
const (
	maxHold         = time.Second
	retransmitDelay = 1300 * time.Millisecond
	stopGrace       = 50 * time.Millisecond
	gangTimeout     = 3 * time.Second
	cancelTime      = 3 * time.Second
	contactTime     = 3 * time.Second
	checkpointWork  = time.Second
	gracePeriod     = 6 * time.Second
	heartbeatTime   = 1500 * time.Millisecond
	remotePenalty   = 1.5
	serviceName     = "order-desk"
	hostName        = "desk.example"
)

// step describes one step of a job and what its tasks do on a worker.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemoryMB      int    `json:"mem_mb"`
	EstimateMs    int    `json:"estimate_ms"`
	After         []int  `json:"after,omitempty"`
	SavesProgress bool   `json:"saves_progress,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	// work is the duration of a task on a sound worker.
	work time.Duration
}

// job is a job of a client with everything that is known of it.
type job struct {
	id, spec, prefix string
	steps            []step
	// wait is how long the client waits for an answer.
	wait time.Duration
	// started holds the tasks that were started, done those that have ended so.
	started, done map[string]bool
	// refused and open count the attempts that were rejected, and all others.
	refused, other int
	cancelAckedAt  time.Time
}

// run is a task at work on a worker.
type run struct {
	worker            *worker
	job               *job
	step, index       int
	task              string
	attempt           int
	checkpoint        string
	done              time.Duration // work done up to workingSince
	workingSince      time.Time     // zero while a gang waits for its members
	presentAt, ending time.Time
	timers            []*time.Timer
}

// world holds the state of all stand-ins and the checks. All methods of workers
// run under its mutex.
type world struct {
	mutex       sync.Mutex
	start       time.Time
	record      *os.File
	store       *rattansite.Store
	jobs        map[string]*job
	workers     []*worker
	active      map[string][]*run
	checkpoints map[string]savedWork
	broken      []string
	counts      map[string]int
	// disturbedAt is when the last disturbance began or ended.
	disturbedAt time.Time
	instances   []*instance
	saved       int
}

// savedWork is the gang or task that a checkpoint belongs to and its work.
type savedWork struct {
	unit string
	work time.Duration
}

func newWorld(path string) (*world, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	store, err := rattansite.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{
		start: time.Now(), record: record, store: store, jobs: map[string]*job{}, active: map[string][]*run{},
		checkpoints: map[string]savedWork{}, counts: map[string]int{},
	}, nil
}

// note writes a line to the record. The caller holds the mutex.
func (w *world) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// log does the same without the mutex held.
func (w *world) log(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.note(format, arguments...)
}

// violate records a broken rule. The caller holds the mutex.
func (w *world) violate(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

func (w *world) disturb(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.disturbedAt = time.Now()
	w.note("disturb "+format, arguments...)
}

// unit returns what a checkpoint of the run belongs to.
func (r *run) unit() string {
	if r.job.steps[r.step].Gang {
		return fmt.Sprintf("%s.0.%d", r.job.id, r.step)
	}
	return r.task
}

func (r *run) String() string {
	return fmt.Sprintf("%s attempt %d on %s", r.task, r.attempt, r.worker.id)
}

// checkStart checks the rules for a start. The caller holds the mutex.
func (w *world) checkStart(r *run, spec string) {
	s := r.job.steps[r.step]
	r.job.started[r.task] = true
	w.counts["starts"]++
	if spec != r.job.spec {
		w.violate("UNASKED: %s has spec %q", r, spec)
	}
	if r.checkpoint != "" {
		if saved, ok := w.checkpoints[r.checkpoint]; !ok || saved.unit != r.unit() {
			w.violate("UNASKED: %s has checkpoint %s of %q", r, r.checkpoint, saved.unit)
		}
	}
	if acked := r.job.cancelAckedAt; !acked.IsZero() && time.Since(acked) > cancelTime {
		w.violate("UNASKED: %s starts %.3f s after the cancelling was acknowledged", r, time.Since(acked).Seconds())
	}
	for _, other := range w.active[r.task] {
		if !s.Speculative {
			w.violate("TWICE: %s starts while %s is at work", r, other)
		}
	}
	for _, earlier := range s.After {
		for i := range r.job.steps[earlier].Count {
			if !r.job.done[taskName(r.job.id, earlier, i)] {
				w.violate("ORDER: %s starts before %s is done", r, taskName(r.job.id, earlier, i))
			}
		}
	}
	if s.Requirements != "" && !r.worker.hasLabel(s.Requirements) {
		w.violate("ROUTE: %s starts without label %s", r, s.Requirements)
	}
	cpu, memory, same := s.CPU, s.MemoryMB, 1
	for _, other := range r.worker.runs {
		o := other.job.steps[other.step]
		cpu, memory = cpu+o.CPU, memory+o.MemoryMB
		if other.job == r.job && other.step == r.step {
			same++
		}
	}
	if cpu > r.worker.cpu || memory > r.worker.memoryMB {
		w.violate("LIMIT: %s brings the worker to %d of %d cpu, %d of %d MB", r, cpu, r.worker.cpu, memory, r.worker.memoryMB)
	}
	if s.AntiAffinity > 0 && same > s.AntiAffinity {
		w.violate("ROUTE: %s is number %d of its step there, at most %d", r, same, s.AntiAffinity)
	}
	for _, others := range w.active {
		for _, other := range others {
			if s.Gang && other.unit() == r.unit() && other.attempt == r.attempt && other.checkpoint != r.checkpoint {
				w.violate("GANG: %s has checkpoint %q, %s has %q", r, r.checkpoint, other, other.checkpoint)
			}
		}
	}
}

// checkJobs checks the rules that hold at the end of a job.
func (w *world) checkJobs() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, j := range w.jobs {
		if j.refused > 0 && j.other == 0 && len(j.started) > 0 {
			w.violate("REFUSED: %s started %d tasks, all %d attempts were rejected", j.id, len(j.started), j.refused)
		}
	}
}

// checkSucceeded checks that all tasks of a job that is shown as succeeded are
// done. The caller holds the mutex.
func (w *world) checkSucceeded(j *job) {
	for i, s := range j.steps {
		for index := range s.Count {
			if !j.done[taskName(j.id, i, index)] {
				w.violate("MIXED: %s succeeded before %s is done", j.id, taskName(j.id, i, index))
			}
		}
	}
}

func taskName(id string, step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", id, step, index)
}

// parseTask returns the job, the step and the index of a task name.
func (w *world) parseTask(name string) (j *job, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, 0, 0, false
	}
	j, ok = w.jobs[parts[0]]
	if !ok {
		return nil, 0, 0, false
	}
	_, err := fmt.Sscanf(parts[2]+" "+parts[3], "%d %d", &step, &index)
	ok = err == nil && step < len(j.steps) && index < j.steps[step].Count
	return j, step, index, ok
}
