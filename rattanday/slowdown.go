package rattanday

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// slowdown makes a part of the targets of a zone slower for a while.
type slowdown struct {
	zone   int
	at     time.Duration
	length time.Duration
	// first and step select the targets by index: first, first+step, and so on.
	first int
	step  int
	// factor is the factor by which runs take longer.
	factor float64
	// cold is set if the targets state in the inventory how long it remains.
	cold bool
}

// heartbeatInterval is the interval at which targets describe themselves in the
// inventory.
const heartbeatInterval = 1500 * time.Millisecond

// changeSpeeds applies the slowdowns that begin or end now.
func (h *home) changeSpeeds(zone int, slowdowns []slowdown, now time.Duration) {
	for i := range slowdowns {
		change := &slowdowns[i]
		if change.zone != zone || (now != change.at && now != change.at+change.length) {
			continue
		}
		factor := 1.0
		if now == change.at {
			factor = change.factor
		}
		for index := change.first; index < len(h.inventory); index += change.step {
			h.changeSpeed(h.inventory[index].ID, factor, now)
			if change.cold && now == change.at {
				h.targets[h.inventory[index].ID].coldUntil = now + change.length
			}
		}
		if change.cold {
			h.describe(now)
		}
	}
	if now%heartbeatInterval == 0 {
		h.describe(now)
	}
}

// describe updates the inventory.
func (h *home) describe(now time.Duration) {
	for i := range h.inventory {
		h.inventory[i].ColdLeft = max(0, h.targets[h.inventory[i].ID].coldUntil-now)
	}
	h.scheduler.UpdateTargets(h.inventory, true, start.Add(now))
}

// changeSpeed postpones or advances the ends of the target's runs.
func (h *home) changeSpeed(id string, slowdown float64, now time.Duration) {
	target := h.targets[id]
	for i := range target.running {
		run := &target.running[i]
		run.done, run.doneAt = run.progress(now), now
		run.end = now + time.Duration(float64(run.end-now)*slowdown/target.slowdown)
		heap.Push(&h.ends, runEnd{at: run.end, target: id, task: run.task, attempt: run.attempt, kind: rattanwork.EndDone})
	}
	target.slowdown = slowdown
}

// progress returns which part of the run is complete.
func (r *simulatedRun) progress(now time.Duration) float64 {
	if r.end <= r.doneAt {
		return 1
	}
	return r.done + (1-r.done)*float64(now-r.doneAt)/float64(r.end-r.doneAt)
}

// listRuns lists the active runs of each target at the interval, of a part of the
// targets at a time.
func (h *home) listRuns(interval, now time.Duration) {
	if interval == 0 {
		return
	}
	for i := range h.inventory {
		if (now+time.Duration(i)*timeStep)%interval == 0 {
			h.scheduler.RunsListed(h.inventory[i].ID, &rattanwork.Listing{Running: h.targets[h.inventory[i].ID].list(now)}, start.Add(now), start, start.Add(now))
		}
	}
}

// secondCounts counts the jobs that arrived in one second of a day.
type secondCounts struct{ jobs, late, worthless int }

// countBySecond adds the jobs to the counts of their seconds of arrival.
func countBySecond(seconds []secondCounts, jobs []*job, outcomes map[*job]outcome) []secondCounts {
	for _, j := range jobs {
		second := int(j.arrival / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, secondCounts{})
		}
		count := &seconds[second]
		count.jobs++
		switch worth := worthOf(j, outcomes); {
		case worth == j.kind.Worth:
		case worth > 0:
			count.late++
		default:
			count.worthless++
		}
	}
	return seconds
}

func (c secondCounts) String() string {
	return fmt.Sprintf("%d jobs, late %.3f, without value %.3f", c.jobs, ratio(float64(c.late), float64(c.jobs)), ratio(float64(c.worthless), float64(c.jobs)))
}
