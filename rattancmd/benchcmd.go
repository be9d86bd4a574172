package rattancmd

import (
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanbench"
)

type benchOptions struct {
	Quick    bool     `long:"quick" description:"finish in less than 50 s by measuring over short windows"`
	JSON     bool     `long:"json" description:"print the report as a JSON object"`
	HTML     string   `long:"html" value-name:"FILE" description:"write the report as an HTML page with charts"`
	Virtual  bool     `long:"virtual" description:"simulate only the schedulers, in virtual time"`
	Capacity bool     `long:"capacity" description:"measure the cost per unit of load that docs/CAPACITY.md is calculated from"`
	Spread   bool     `long:"spread" description:"simulate the propagation of configuration changes to 9 to 300 members"`
	Seed     uint64   `long:"seed" value-name:"N" default:"1" description:"random seed of the job arrivals"`
	Policies []string `long:"policy" value-name:"NAME" description:"scheduling policy to run, repeatable; the default is all"`

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
	if o.JSON {
		return errors.Trace(report.WriteJSON(o.std.out))
	}
	return errors.Trace(report.WriteText(o.std.out))
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
