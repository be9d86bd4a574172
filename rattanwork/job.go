package rattanwork

import (
	"iter"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// LateFactor is the multiple of the objective's duration after which an answer
// has no value.
const LateFactor = 3

// ErrMalformedJob means that a job cannot be scheduled because its steps are
// missing or contradict each other.
const ErrMalformedJob = errors.ConstError("malformed job")

// Resources is an amount of compute resources.
type Resources struct {
	// MilliCPU is the processor time in thousandths of a core.
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + other.MilliCPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// FitsIn reports whether the available resources cover r.
func (r Resources) FitsIn(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// FitCount returns how many times the request fits into r, but at most limit.
func (r Resources) FitCount(request Resources, limit int) int {
	count := limit
	for _, resource := range [...]struct{ available, required int }{{r.MilliCPU, request.MilliCPU}, {r.MemoryMB, request.MemoryMB}, {r.GPU, request.GPU}} {
		if resource.required > 0 {
			count = min(count, resource.available/resource.required)
		}
	}
	return count
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - other.MilliCPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Resources is the amount of resources that each task requires.
	Resources Resources `json:"Need"`
	// Estimate is the run time of a task as declared by the submitter.
	Estimate time.Duration
	// After holds the indices of earlier steps that must complete before this
	// one.
	After []int
	// Label is a label that the target must have; if empty, any target will do.
	Label string
	// Rack is the rack that holds the step's data, empty if there is no
	// preference.
	Rack string
	// MaxPerTarget is the maximum number of the step's tasks on one target; 0
	// means no limit.
	MaxPerTarget int `json:"PerTarget"`
	// SavesProgress is set if a restarted task continues from its last
	// checkpoint.
	SavesProgress bool
	// Gang is set if the tasks are scheduled as a gang: all of them start in
	// the same attempt, and when one ends, all end.
	Gang bool
	// SameRack is set if the tasks run slower when spread over several racks.
	SameRack bool
	// Speculative is set if a slow task may be run a second time in parallel.
	// The first run to complete counts.
	Speculative bool
}

// Job is a unit of work submitted by a caller.
type Job struct {
	// ID is 16 hexadecimal digits chosen by the caller.
	ID string
	// Spec is passed to the targets unchanged.
	Spec  string
	Steps []Step
}

// Tasks returns the number of tasks in all steps.
func (j *Job) Tasks() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// TaskNames yields the names of all tasks of a job without occurrences.
func (j *Job) TaskNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		for step := range j.Steps {
			for index := range j.Steps[step].Count {
				if !yield(TaskName{Job: j.ID, Step: step, Index: index}.String()) {
					return
				}
			}
		}
	}
}

// Check returns ErrMalformedJob unless the job has steps that have tasks and
// depend only on earlier steps.
func (j *Job) Check() error {
	if j == nil || len(j.Steps) == 0 {
		return ErrMalformedJob
	}
	for i := range j.Steps {
		if j.Steps[i].Count < 1 {
			return errors.Annotatef(ErrMalformedJob, "step %d: count %d", i, j.Steps[i].Count)
		}
		for _, dependency := range j.Steps[i].After {
			if dependency < 0 || dependency >= i {
				return errors.Annotatef(ErrMalformedJob, "step %d: after step %d", i, dependency)
			}
		}
	}
	return nil
}

// CriticalPath returns the estimated run time of the longest chain of dependent
// steps.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, dependency := range j.Steps[i].After {
			start = max(start, finish[dependency])
		}
		finish[i] = start + j.Steps[i].Estimate
		longest = max(longest, finish[i])
	}
	return longest
}

// TaskName identifies a task across all jobs.
type TaskName struct {
	Job string
	// Occurrence numbers the repetitions of a scheduled job; it is 0 for other
	// jobs.
	Occurrence int
	Step       int
	Index      int
}

// String returns the name in the form Job.Occurrence.Step.Index.
func (n TaskName) String() string {
	buffer := make([]byte, 0, len(n.Job)+12)
	buffer = append(buffer, n.Job...)
	for _, number := range [...]int{n.Occurrence, n.Step, n.Index} {
		buffer = append(buffer, '.')
		buffer = strconv.AppendInt(buffer, int64(number), 10)
	}
	return string(buffer)
}
