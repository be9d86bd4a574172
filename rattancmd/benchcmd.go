package rattancmd

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanbench"
	"github.com/rattanlever/rattanlever/rattanday"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanprofile"
)

type benchOptions struct {
	Quick    bool          `long:"quick" description:"finish in less than 50 s by measuring over short windows"`
	JSON     bool          `long:"json" description:"print the report as a JSON object"`
	HTML     string        `long:"html" value-name:"FILE" description:"write the report as an HTML page with charts"`
	Virtual  bool          `long:"virtual" description:"simulate only the schedulers, in virtual time"`
	Capacity bool          `long:"capacity" description:"measure the cost per unit of load that docs/CAPACITY.md is calculated from"`
	Spread   bool          `long:"spread" description:"simulate the propagation of configuration changes to 9 to 300 members"`
	Home     bool          `long:"home" description:"measure the processor time of a task on a home, by stage, up to the rate at which the home fails"`
	Day      string        `long:"day" value-name:"FILE" description:"play a day of traffic on the schedulers of several zones in virtual time, and compare it with schedulers that know more"`
	Rates    []float64     `long:"rate" value-name:"JOBS" description:"jobs per second for --home, repeatable; the default is 100 to 1200"`
	Targets  int           `long:"targets" value-name:"N" default:"240" description:"number of targets for --home"`
	Fronts   int           `long:"fronts" value-name:"N" default:"2" description:"number of instances beside the home for --home"`
	Window   time.Duration `long:"window" value-name:"DURATION" default:"5s" description:"how long --home measures each rate"`
	Logs     string        `long:"logs" value-name:"DIRECTORY" description:"keep the logs of the instances of --home"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"random seed of the job arrivals"`
	Policies []string      `long:"policy" value-name:"NAME" description:"scheduling policy to run, repeatable; the default is all"`

	std *streams
}

func benchCommand(std *streams) command {
	return command{
		name:    "bench",
		summary: "Benchmark the system against baseline schedulers on the same job arrivals",
		example: "rattanlever bench --quick --html bench.html",
		options: &benchOptions{std: std},
	}
}

// Execute runs the benchmarks and prints their results.
func (o *benchOptions) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	if o.Capacity {
		report, err := rattanbench.MeasureCapacity(ctx, true, rattanbench.Probes()...)
		if err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(report.WriteText(o.std.out))
	}
	if o.Spread {
		return errors.Trace(rattanbench.WritePropagations(o.std.out, rattanbench.SimulatePropagations(o.Seed)))
	}
	if o.Home {
		return o.measureHome(ctx)
	}
	if o.Day != "" {
		return o.playDay()
	}
	report, err := rattanbench.Run(ctx, rattanbench.Options{
		Quick:    o.Quick,
		Virtual:  o.Virtual,
		Seed:     o.Seed,
		Policies: o.Policies,
		Progress: o.std.err,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if o.HTML != "" {
		if err := writePage(o.HTML, report.WritePage); err != nil {
			return err
		}
	}
	return o.print(report)
}

// playDay plays the day of traffic that the file describes.
func (o *benchOptions) playDay() error {
	day, err := rattanday.Read(o.Day)
	if err != nil {
		return errors.Annotate(err, "--day")
	}
	return o.print(rattanday.Play(day, o.Seed))
}

// report is the result of a benchmark.
type report interface {
	WriteText(w io.Writer) error
}

func (o *benchOptions) print(r report) error {
	if o.JSON {
		return errors.Annotate(rattanjson.Write(o.std.out, r), "write the report as JSON")
	}
	return errors.Trace(r.WriteText(o.std.out))
}

// measureHome measures the processor time of a home.
func (o *benchOptions) measureHome(ctx context.Context) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	rates := o.Rates
	if len(rates) == 0 {
		rates = []float64{100, 300, 600, 900, 1200}
	}
	report, err := rattanprofile.Measure(ctx, rattanprofile.Options{
		Binary: binary, Rates: rates, Duration: o.Window, Targets: o.Targets, Fronts: o.Fronts, Logs: o.Logs, Seed: o.Seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	return o.print(report)
}

// writePage creates the file at path and writes the HTML page to it.
func writePage(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "--html")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return errors.Annotate(err, path)
	}
	return errors.Annotate(file.Close(), path)
}
