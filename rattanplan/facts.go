package rattanplan

import (
	"maps"
	"slices"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// ClusterStatus are the load and the members at present, as the instances report them.
// Parts that are not known are left out; a plan then says less.
type ClusterStatus struct {
	// Slots counts the slots of all targets in use, over all pools.
	Slots     int
	BusySlots int
	// Backlog is the expected slot time of all waiting tasks.
	Backlog rattanjson.Duration
	// ServiceSlots counts the slots in use by service.
	ServiceSlots map[string]int
	// Targets holds at least the target that the intent names.
	Targets map[string]Target
	// Instances holds all live entry instances.
	Instances map[string]Instance
	Callers   map[string]Usage
	JobKinds  map[string]Usage
}

// Target is a worker instance at present.
type Target struct {
	AvailabilityZone string
	Service          string
	Slots            int
	BusySlots        int
	// LongestRemaining is the longest expected time that a running task needs
	// to its end.
	LongestRemaining rattanjson.Duration
}

// Instance is an entry instance at present.
type Instance struct {
	AvailabilityZone string
	// Revision is that of the configuration document in force.
	Revision uint64
	// Jobs counts the jobs in progress whose home the instance is.
	Jobs int
	// LongestRemaining is the longest time to the deadline of those jobs.
	LongestRemaining rattanjson.Duration
}

// Usage is what a caller or a job kind uses at present in all pools.
type Usage struct {
	Slots int
	Jobs  int
	// Backlog is the expected slot time of the waiting tasks.
	Backlog rattanjson.Duration
}

// zoneInstances counts the live instances of the availability zone.
func (f ClusterStatus) zoneInstances(zone string) int {
	count := 0
	for _, instance := range f.Instances {
		if instance.AvailabilityZone == zone {
			count++
		}
	}
	return count
}

// behind returns the names of the instances whose document is older than the
// revision.
func (f ClusterStatus) behind(revision uint64) []string {
	var names []string
	for _, name := range sortedKeys(f.Instances) {
		if f.Instances[name].Revision < revision {
			names = append(names, name)
		}
	}
	return names
}

// kindsOf returns the names of the job kinds in use of a service.
func kindsOf(document rattanconfig.Document, service string) []string {
	var names []string
	for _, name := range sortedKeys(document.JobKinds) {
		if kind := document.JobKinds[name]; kind.Service == service && !kind.Retired {
			names = append(names, name)
		}
	}
	return names
}

// shareOf returns a caller's part of the weights of all callers in use.
func shareOf(document rattanconfig.Document, name string) float64 {
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
