package rattanday

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Evacuation is the time in which nothing may start in a zone. A For of 0 lasts to the end
// of the day.
type Evacuation struct {
	Zone string
	At   rattanjson.Duration
	For  rattanjson.Duration
}

// covers reports whether the zone is evacuated at the given time of the day.
func (e *Evacuation) covers(zone string, at time.Duration) bool {
	return zone == e.Zone && at >= e.At.Std() && (e.For == 0 || at < (e.At+e.For).Std())
}

func (d *Day) checkEvacuation(e *Evacuation) error {
	switch {
	case e.At < 0 || e.For < 0:
		return invalidKey("At", "must not be negative, like For")
	case !slices.ContainsFunc(d.Zones, func(zone Zone) bool { return zone.Name == e.Zone }):
		return invalidKey("Zone", "no such zone")
	}
	return nil
}

// simulatedEvacuations returns the evacuations with the names of zones in a simulation.
func (d *Day) simulatedEvacuations() []Evacuation {
	list := slices.Clone(d.Evacuations)
	for i := range list {
		list[i].Zone = zoneName(slices.IndexFunc(d.Zones, func(zone Zone) bool { return zone.Name == list[i].Zone }))
	}
	return list
}

// zoneName returns the name of a zone in a simulation.
func zoneName(index int) string {
	return fmt.Sprintf("zone-%d", index)
}

// evacuationRecord holds what evacuations and jobs that go on in other zones need.
type evacuationRecord struct {
	evacuations []Evacuation
	// tried contains the zones that have redirected or refused a job.
	tried map[*job][]string
	// active counts, by task, the runs under way. doubleRuns and forbiddenStarts count
	// starts of tasks that run already, and those in an evacuated zone.
	active          map[string]int
	doubleRuns      int
	forbiddenStarts int
}

func newEvacuationRecord(evacuations []Evacuation) evacuationRecord {
	return evacuationRecord{evacuations: evacuations, tried: map[*job][]string{}, active: map[string]int{}}
}

// evacuated reports whether a zone is evacuated now.
func (s *homes) evacuated(zone string) bool {
	return slices.ContainsFunc(s.evacuations, func(e Evacuation) bool { return e.covers(zone, s.now) })
}

// evacuate applies the evacuations that begin or end.
func (s *homes) evacuate() {
	for _, zone := range s.zones {
		status := rattanwork.EvacuationNone
		if s.evacuated(zone.name) {
			status = rattanwork.EvacuationActive
		}
		zone.scheduler.SetEvacuation(status, start.Add(s.now))
	}
}

// recordStart counts the runs of a task.
func (s *homes) recordStart(zone *home, request rattanscheduler.StartRequest) {
	s.active[request.Task]++
	if s.active[request.Task] > 1 {
		s.doubleRuns++
	}
	if s.evacuated(zone.name) {
		s.forbiddenStarts++
	}
}

// goOn submits a job elsewhere that was redirected, or to its own zone that another one
// has refused. It reports whether it has.
func (s *homes) goOn(zone *home, j *job, result rattanscheduler.JobResult) bool {
	next := result.Zone
	if result.Outcome == rattanscheduler.Refused && zone != s.zones[j.zone] {
		next = s.zones[j.zone].name
	}
	if next == "" {
		return false
	}
	s.tried[j] = append(s.tried[j], zone.name)
	s.redirects = append(s.redirects, redirect{job: j, zone: next, at: s.now + redirectTime, started: result.MayHaveStarted})
	return true
}
