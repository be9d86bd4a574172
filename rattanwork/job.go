package rattanwork

import (
	"strconv"
	"time"
)

// LateFactor times the objective is when an answer loses all its worth.
const LateFactor = 3

// Resources is an amount of a target's resources.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Add returns the sum of two rooms.
func (r Resources) Add(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + other.MilliCPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Fits reports whether the room is contained in the other.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Holds returns how often the need fits into the room, at most the limit.
func (r Resources) Holds(need Resources, limit int) int {
	count := limit
	for _, part := range [...]struct{ room, need int }{{r.MilliCPU, need.MilliCPU}, {r.MemoryMB, need.MemoryMB}, {r.GPU, need.GPU}} {
		if part.need > 0 {
			count = min(count, part.room/part.need)
		}
	}
	return count
}

// Sub returns the difference of two rooms.
func (r Resources) Sub(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - other.MilliCPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Resources is the room that each task takes.
	Resources Resources
	// Estimate is the submitter's guess of a task's run time.
	Estimate time.Duration
	// After holds the indices of earlier steps that must be complete first.
	After []int
	// Label is a label that the target must have; empty means any target.
	Label string
	// Rack is where the step's data is; empty means anywhere.
	Rack string
	// MaxPerTarget limits the step's tasks on one target; 0 means no limit.
	MaxPerTarget int
	// SavesProgress says that a restarted task continues from its checkpoint.
	SavesProgress bool
	// Gang says that the tasks run only together: all start in one attempt, and
	// the end of one is the end of all.
	Gang bool
	// SameRack says that the tasks are slower when they run on several racks.
	SameRack bool
	// Speculative says that a task may have two runs at the same time, of which
	// the first to be done counts.
	Speculative bool
}

// Job is one submission.
type Job struct {
	// ID is chosen by the caller, 16 hexadecimal digits.
	ID string
	// Spec is passed on to the targets as it is.
	Spec  string
	Steps []Step
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// CriticalPath returns the estimated run time of the longest chain of steps.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, earlier := range j.Steps[i].After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskName identifies a task among all jobs.
type TaskName struct {
	Job string
	// Occurrence numbers the repetitions of a scheduled job; 0 for others.
	Occurrence int
	Step       int
	Index      int
}

// String returns the form Job.Occurrence.Step.Index.
func (n TaskName) String() string {
	buffer := make([]byte, 0, len(n.Job)+12)
	buffer = append(buffer, n.Job...)
	for _, number := range [...]int{n.Occurrence, n.Step, n.Index} {
		buffer = append(buffer, '.')
		buffer = strconv.AppendInt(buffer, int64(number), 10)
	}
	return string(buffer)
}
