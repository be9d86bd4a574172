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

// Probe measures how the cost of a part grows with its size.
type Probe struct {
	// Name says what grows, for instance "ledger record".
	Name string
	// Sizes are at least two numbers of elements, ascending.
	Sizes []int
	// Build returns the part with that many elements. It is kept alive while
	// its memory is measured.
	Build func(size int) any
	// Step does one operation of the part, and may be nil. It is called with
	// successive numbers from 0.
	Step func(part any, number int)
	// StepName says what Step does.
	StepName string
}

// Slope is what a probe measured.
type Slope struct {
	Name string
	// BytesPerElement is the slope of the memory over the size.
	BytesPerElement float64
	// BaseBytes is the memory at size 0, by the same line.
	BaseBytes float64
	StepName  string
	// StepTimes has the time of one step at each size; it is empty without
	// steps.
	StepTimes []StepTime
}

// StepTime is the cost of one step at one size.
type StepTime struct {
	Size int
	Time time.Duration
	// Allocations and Bytes are those of one step.
	Allocations float64
	Bytes       float64
}

// CapacityReport has the slopes for docs/CAPACITY.md.
type CapacityReport struct {
	Slopes []Slope
	Starts []StartCost
}

// StartCost is the cost of a task start on the whole path of an entry
// instance, with stand-in targets and callers in the same process.
type StartCost struct {
	// Rate is the number of starts per second during the measurement.
	Rate float64
	// CPU is the processor time of the process per start: entry instances,
	// stand-ins and callers together.
	CPU time.Duration
	// Allocated is the heap memory that was allocated per start.
	Allocated float64
	// LinkBytes is the payload on links between instances per start.
	LinkBytes float64
}

// minStepTime is how long the steps of one size are repeated.
const minStepTime = 200 * time.Millisecond

// MeasureCapacity measures all probes, and the cost of a start if starts is set. With
// no probes it takes the ones of Probes.
func MeasureCapacity(ctx context.Context, starts bool, probes ...Probe) (CapacityReport, error) {
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
		report.Slopes = append(report.Slopes, probe.measure())
	}
	if !starts {
		return report, nil
	}
	costs, err := startCosts(ctx)
	report.Starts = costs
	return report, errors.Annotate(err, "cost of a start")
}

// WriteText writes the slopes as a table.
func (r CapacityReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tbytes per element\tbase bytes\tstep\tsize\ttime\tallocations\tbytes")
	for _, slope := range r.Slopes {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%s\n", slope.Name, slope.BytesPerElement, slope.BaseBytes, slope.StepName)
		for _, step := range slope.StepTimes {
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

func (p Probe) measure() Slope {
	slope := Slope{Name: p.Name, StepName: p.StepName}
	var points []point
	for _, size := range p.Sizes {
		before := heapBytes()
		part := p.Build(size)
		points = append(points, point{x: float64(size), y: heapBytes() - before})
		if p.Step != nil {
			slope.StepTimes = append(slope.StepTimes, p.time(part, size))
		}
		runtime.KeepAlive(part)
	}
	slope.BytesPerElement, slope.BaseBytes = fitLine(points)
	return slope
}

// time repeats the step for minStepTime, after as many steps that do not count.
func (p Probe) time(part any, size int) StepTime {
	number := 0
	repeat := func() (steps int, elapsed time.Duration) {
		const batch = 100
		began := time.Now()
		for elapsed < minStepTime {
			for range batch {
				p.Step(part, number)
				number++
			}
			steps += batch
			elapsed = time.Since(began)
		}
		return steps, elapsed
	}
	repeat()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	steps, elapsed := repeat()
	runtime.ReadMemStats(&after)
	return StepTime{
		Size:        size,
		Time:        elapsed / time.Duration(steps),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(steps),
		Bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(steps),
	}
}

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// fitLine returns the line of least squares through the points.
func fitLine(points []point) (slope, base float64) {
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.x
		y += p.y
		xx += p.x * p.x
		xy += p.x * p.y
	}
	n := float64(len(points))
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}
