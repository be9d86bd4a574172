package rattanbench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Probe measures how the memory and the time per operation of a component grow
// with the number of its elements.
type Probe struct {
	// Name is the component and its kind of element, for instance "ledger, per
	// running record".
	Name string
	// Sizes are at least two numbers of elements in ascending order.
	Sizes []int
	// Build returns the component with that many elements. It is kept alive
	// while its memory is measured.
	Build func(size int) any
	// Step performs one operation of the component, and may be nil. It is called
	// with consecutive numbers from 0.
	Step func(component any, iteration int)
	// StepName describes what Step does.
	StepName string
}

// ProbeResult holds the costs that a probe measured.
type ProbeResult struct {
	Name string
	// BytesPerElement is the slope of a line fitted to the memory at each size.
	BytesPerElement float64
	// BaseBytes is the intercept of that line, the memory at size 0.
	BaseBytes float64
	StepName  string
	// StepCosts has the cost of one step at each size. It is empty if the probe
	// has no Step.
	StepCosts []StepCost
}

// StepCost is the cost of one step at one size.
type StepCost struct {
	Size int
	Time time.Duration
	// Allocations and Bytes are heap allocations and allocated bytes per step.
	Allocations float64
	Bytes       float64
}

// CapacityReport holds the figures for docs/CAPACITY.md.
type CapacityReport struct {
	Results []ProbeResult
	Starts  []StartCost
}

// StartCost is the cost of a task start on the whole path through an entry
// instance, with simulated targets and callers in the same process.
type StartCost struct {
	// Rate is the number of starts per second during the measurement.
	Rate float64
	// CPU is the processor time of the process per start, including entry
	// instances, simulated targets and callers.
	CPU time.Duration
	// Allocated is the number of heap bytes allocated per start.
	Allocated float64
	// LinkBytes is the number of payload bytes sent between instances per start.
	LinkBytes float64
}

// minMeasureTime is the minimum time for which the step is repeated at each
// size.
const minMeasureTime = 200 * time.Millisecond

// MeasureCapacity runs the probes, or those of Probes if none are given. If
// measureStarts is set, it also measures the cost of a task start.
func MeasureCapacity(ctx context.Context, measureStarts bool, probes ...Probe) (CapacityReport, error) {
	if len(probes) == 0 {
		probes = Probes()
	}
	var report CapacityReport
	for _, probe := range probes {
		if ctx.Err() != nil {
			return report, errors.Trace(ctx.Err())
		}
		if len(probe.Sizes) < 2 {
			return report, errors.Errorf("probe %s: %d sizes, want at least 2", probe.Name, len(probe.Sizes))
		}
		report.Results = append(report.Results, probe.measure())
	}
	if !measureStarts {
		return report, nil
	}
	costs, err := startCosts(ctx)
	report.Starts = costs
	return report, errors.Annotate(err, "measure the cost of a task start")
}

// WriteText writes the results as a table.
func (r CapacityReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "component\tbytes per element\tbase bytes\tstep\tsize\ttime\tallocations\tbytes")
	for _, result := range r.Results {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%s\n", result.Name, result.BytesPerElement, result.BaseBytes, result.StepName)
		for _, step := range result.StepCosts {
			fmt.Fprintf(table, "\t\t\t\t%d\t%v\t%.2f\t%.0f\n", step.Size, step.Time, step.Allocations, step.Bytes)
		}
	}
	if len(r.Starts) > 0 {
		fmt.Fprintln(table, "\nstarts/s\tCPU per start\theap bytes per start\tlink bytes per start")
	}
	for _, cost := range r.Starts {
		fmt.Fprintf(table, "%.0f\t%v\t%.0f\t%.0f\n", cost.Rate, cost.CPU, cost.Allocated, cost.LinkBytes)
	}
	return errors.Annotate(table.Flush(), "write the capacity report")
}

func (p Probe) measure() ProbeResult {
	result := ProbeResult{Name: p.Name, StepName: p.StepName}
	var points []point
	for _, size := range p.Sizes {
		before := heapBytes()
		component := p.Build(size)
		points = append(points, point{x: float64(size), y: heapBytes() - before})
		if p.Step != nil {
			result.StepCosts = append(result.StepCosts, p.measureStep(component, size))
		}
		runtime.KeepAlive(component)
	}
	result.BytesPerElement, result.BaseBytes = fitLine(points)
	return result
}

// measureStep repeats the step for minMeasureTime, after a warm-up of the same
// length.
func (p Probe) measureStep(component any, size int) StepCost {
	iteration := 0
	repeat := func() (steps int, elapsed time.Duration) {
		const batch = 100
		started := time.Now()
		for elapsed < minMeasureTime {
			for range batch {
				p.Step(component, iteration)
				iteration++
			}
			steps += batch
			elapsed = time.Since(started)
		}
		return steps, elapsed
	}
	repeat()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	steps, elapsed := repeat()
	runtime.ReadMemStats(&after)
	return StepCost{
		Size:        size,
		Time:        elapsed / time.Duration(steps),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(steps),
		Bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(steps),
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// fitLine fits a line to the points by least squares.
func fitLine(points []point) (slope, intercept float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.x
		sumY += p.y
		sumXX += p.x * p.x
		sumXY += p.x * p.y
	}
	n := float64(len(points))
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}
