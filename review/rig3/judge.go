package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
)

// step is a step of a job, as it is sent.
type step struct {
	Count int `json:"count"`
	resources
	Estimate     int    `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Saves        bool   `json:"saves_progress,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	SameRack     bool   `json:"same_rack,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
}

type jobBody struct {
	Spec       string  `json:"spec"`
	Steps      []*step `json:"steps"`
	BestEffort bool    `json:"best_effort"`
}

type task struct {
	job      *job
	step     *step
	stepNo   int
	index    int
	name     string
	duration time.Duration
	failRate float64
	done     bool
	runs     map[*run]bool
	progress map[string]time.Duration
	starts   int
	// failures counts the runs that ended as failed.
	failures int
}

// group names what shares checkpoints.
func (t *task) group() string {
	if t.step.Gang {
		return fmt.Sprintf("%s.0.%d", t.job.id, t.stepNo)
	}
	return t.name
}

func (t *task) members() []*task {
	if !t.step.Gang {
		return []*task{t}
	}
	return t.job.stepTasks[t.stepNo]
}

type job struct {
	id          string
	service     string
	body        jobBody
	tasks       map[string]*task
	stepTasks   [][]*task
	started     int
	cancelledAt time.Time
	statuses    []int
}

type gang struct {
	present map[*run]bool
	timer   *time.Timer
	works   bool
}

// site is what a play consists of.
type site struct {
	mutex      sync.Mutex
	deployment *rattanprocess.Deployment
	workers    []*worker
	judge      *judge
	gangs      map[string]*gang
	calmSince  time.Time
}

func gangKey(r *run) string { return fmt.Sprintf("%s/%d", r.task.group(), r.attempt) }

func (s *site) joinGang(r *run) {
	key := gangKey(r)
	g := s.gangs[key]
	if g == nil {
		g = &gang{present: map[*run]bool{}}
		s.gangs[key] = g
	}
	g.present[r] = true
	if len(g.present) == r.task.step.Count {
		g.works = true
		if g.timer != nil {
			g.timer.Stop()
		}
		longest := time.Duration(0)
		for member := range g.present {
			member.working = time.Now()
			longest = max(longest, member.task.duration-member.task.progress[member.checkpoint])
		}
		g.timer = time.AfterFunc(longest, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.gangs[key] != g {
				return
			}
			delete(s.gangs, key)
			for member := range g.present {
				member.worker.end(member, "done")
			}
		})
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(gangTimeout, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.gangs[key] != g || g.works {
				return
			}
			delete(s.gangs, key)
			for member := range g.present {
				member.worker.end(member, "alone")
			}
		})
	}
}

func (s *site) leaveGang(r *run, how string) {
	key := gangKey(r)
	g := s.gangs[key]
	if g == nil {
		return
	}
	delete(g.present, r)
	if how == "done" || how == "broken" || how == "alone" || !g.works {
		return
	}
	delete(s.gangs, key)
	g.timer.Stop()
	for member := range g.present {
		member.worker.end(member, "broken")
	}
}

// judge checks the rules on what clients and workers see.
type judge struct {
	site   *site
	begun  time.Time
	log    *os.File
	jobs   map[string]*job
	broken map[string]int
	notes  []string
	runs   int
	ends   map[string]int
}

func (j *judge) note(format string, arguments ...any) {
	fmt.Fprintf(j.log, "%9.3f %s\n", time.Since(j.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

func (j *judge) violate(rule, format string, arguments ...any) {
	j.broken[rule]++
	text := fmt.Sprintf("BROKEN %s: ", rule) + fmt.Sprintf(format, arguments...)
	j.note("%s", text)
	j.notes = append(j.notes, fmt.Sprintf("%.3f %s", time.Since(j.begun).Seconds(), text))
}

// start judges a start. The caller holds the site's mutex.
func (j *judge) start(w *worker, o order, late bool) *task {
	jobID := o.Task[:min(16, len(o.Task))]
	jb := j.jobs[jobID]
	var t *task
	if jb != nil {
		t = jb.tasks[o.Task]
	}
	j.note("start %s attempt %d on %s token %d late %v", o.Task, o.Attempt, w.id, o.Token, late)
	if t == nil {
		j.violate("UNASKED", "%s on %s: no client has sent it", o.Task, w.id)
		return nil
	}
	j.runs++
	jb.started++
	t.starts++
	if o.Spec != jb.body.Spec {
		j.violate("UNASKED", "%s on %s: other spec", o.Task, w.id)
	}
	if o.Checkpoint != nil && *o.Checkpoint != "" {
		if _, ok := t.progress[*o.Checkpoint]; !ok {
			j.violate("UNASKED", "%s on %s: checkpoint %q is not the task's", o.Task, w.id, *o.Checkpoint)
		}
	}
	if !jb.cancelledAt.IsZero() && time.Since(jb.cancelledAt) > 3*time.Second && !late {
		j.violate("UNASKED", "%s on %s: %v after its cancelling was acknowledged", o.Task, w.id, time.Since(jb.cancelledAt))
	}
	if w.service != jb.service || !w.hasLabel(t.step.Requirements) {
		j.violate("ROUTE", "%s on %s: service %s labels %v, wants %s %q late %v", o.Task, w.id, w.service, w.labels, jb.service, t.step.Requirements, late)
	}
	if n := t.step.AntiAffinity; n > 0 {
		same := 1
		for _, r := range w.runs {
			if r.task.job == jb && r.task.stepNo == t.stepNo {
				same++
			}
		}
		if same > n {
			j.violate("ROUTE", "%s on %s: %d of its step there, at most %d, late %v", o.Task, w.id, same, n, late)
		}
	}
	if len(t.runs) > 0 && !t.step.Speculative {
		for r := range t.runs {
			j.violate("TWICE", "%s on %s attempt %d (late %v) while attempt %d runs on %s since %.3f", o.Task, w.id, o.Attempt, late, r.attempt, r.worker.id, r.startedAt.Sub(j.begun).Seconds())
		}
	}
	for _, dependency := range t.step.After {
		for _, other := range jb.stepTasks[dependency] {
			if !other.done {
				j.violate("ORDER", "%s on %s before %s is done", o.Task, w.id, other.name)
			}
		}
	}
	used := t.step.resources
	for _, r := range w.runs {
		used = used.add(r.task.step.resources)
	}
	if used.over(w.capacity) {
		j.violate("LIMIT", "%s on %s: %+v of %+v, late %v", o.Task, w.id, used, w.capacity, late)
	}
	if !w.drainAt.IsZero() && time.Since(w.drainAt) > 2*time.Second && !late {
		j.violate("DRAIN", "%s on %s: %v after draining", o.Task, w.id, time.Since(w.drainAt))
	}
	return t
}

// end records an end. The caller holds the site's mutex.
func (j *judge) end(w *worker, r *run, how string) {
	j.note("end %s attempt %d on %s %s", r.task.name, r.attempt, w.id, how)
	j.ends[how]++
	if how == "failed" {
		r.task.failures++
	}
	if how == "done" {
		for _, member := range r.task.members() {
			member.done = true
		}
	}
	if how == "alone" && r.task.job.cancelledAt.IsZero() && time.Since(j.site.calmSince) > 3*time.Second && !j.site.calmSince.IsZero() {
		j.violate("GANG", "%s attempt %d on %s ended alone", r.task.name, r.attempt, w.id)
	}
}

// answered judges the final answer to a submission. The caller holds the site's mutex.
func (j *judge) answered(jb *job, status int, body string) {
	j.note("answer %s %d %s", jb.id, status, body)
	jb.statuses = append(jb.statuses, status)
	if status == 200 && body == `{"state":"failed"}` {
		most := 0
		for _, t := range jb.tasks {
			most = max(most, t.failures)
		}
		if most < maxAttempts {
			j.violate("LOST", "%s is shown as failed, and the most runs of a task that have ended failed are %d of %d", jb.id, most, maxAttempts)
		}
	}
	if status == 200 && body == `{"state":"succeeded"}` {
		for _, t := range jb.tasks {
			if !t.done {
				j.violate("MIXED", "%s succeeded, but %s is not done", jb.id, t.name)
				return
			}
		}
	}
}

// refused judges REFUSED at the end.
func (j *judge) refused() {
	for _, jb := range j.jobs {
		rejected := len(jb.statuses) > 0
		for _, s := range jb.statuses {
			rejected = rejected && (s == 429 || s == 503 || s == 404 || s == 413 || s == 400)
		}
		if rejected && jb.started > 0 {
			j.violate("REFUSED", "%s: answers %v, %d starts", jb.id, jb.statuses, jb.started)
		}
	}
}
