package rattanplan

import (
	"maps"
	"slices"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// ClusterStatus holds the current load and membership as reported by the
// instances. Unknown parts are left empty, and the plan then omits the
// estimates based on them.
type ClusterStatus struct {
	// Slots is the number of slots of all targets in use, over all pools.
	Slots     int
	BusySlots int
	// Backlog is the expected total run time of all waiting tasks.
	Backlog rattanjson.Duration
	// ServiceSlots is the number of slots in use per service.
	ServiceSlots map[string]int
	// Targets contains at least the target named by the intent.
	Targets map[string]Target
	// Instances contains all live entry instances.
	Instances map[string]Instance
	Callers   map[string]Usage
	JobKinds  map[string]Usage
}

// Target is the current state of a target, an instance that runs tasks.
type Target struct {
	AvailabilityZone string
	Service          string
	Slots            int
	BusySlots        int
	// LongestRemaining is the longest expected remaining run time of the
	// running tasks.
	LongestRemaining rattanjson.Duration
}

// Instance is the current state of an entry instance, which accepts requests
// and, as a home, schedules jobs.
type Instance struct {
	AvailabilityZone string
	// Revision is the revision of the configuration document in force.
	Revision uint64
	// Jobs is the number of jobs in progress whose home is this instance.
	Jobs int
	// LongestRemaining is the longest time left until the deadline of one of
	// these jobs.
	LongestRemaining rattanjson.Duration
}

// Usage is the current usage of a caller or job kind, summed over all pools.
type Usage struct {
	// Slots is the number of busy slots.
	Slots int
	// Jobs is the number of jobs in progress.
	Jobs int
	// Backlog is the expected total run time of the waiting tasks.
	Backlog rattanjson.Duration
}

// countZoneInstances returns the number of live instances in the availability
// zone.
func (s ClusterStatus) countZoneInstances(zone string) int {
	count := 0
	for _, instance := range s.Instances {
		if instance.AvailabilityZone == zone {
			count++
		}
	}
	return count
}

// outdatedInstances returns the names of the instances with a document older
// than the given revision.
func (s ClusterStatus) outdatedInstances(revision uint64) []string {
	var names []string
	for _, name := range sortedKeys(s.Instances) {
		if s.Instances[name].Revision < revision {
			names = append(names, name)
		}
	}
	return names
}

// activeJobKinds returns the names of the job kinds of a service that are not
// retired.
func activeJobKinds(document rattanconfig.Document, service string) []string {
	var names []string
	for _, name := range sortedKeys(document.JobKinds) {
		if kind := document.JobKinds[name]; kind.Service == service && !kind.Retired {
			names = append(names, name)
		}
	}
	return names
}

// callerShare returns the caller's fraction of the total weight of all callers
// that are not retired.
func callerShare(document rattanconfig.Document, name string) float64 {
	total := 0.0
	for _, caller := range document.Callers {
		if !caller.Retired {
			total += caller.Weight
		}
	}
	caller, ok := document.Callers[name]
	if !ok || caller.Retired || total == 0 {
		return 0
	}
	return caller.Weight / total
}

func sortedKeys[V any](entries map[string]V) []string {
	return slices.Sorted(maps.Keys(entries))
}
