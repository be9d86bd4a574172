package rattancmd

import (
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanbench"
)

type benchOptions struct {
	Quick    bool     `long:"quick" description:"measure in less than 50 s, on short windows"`
	JSON     bool     `long:"json" description:"print one JSON object"`
	HTML     string   `long:"html" value-name:"FILE" description:"write the report as a page with plots"`
	Virtual  bool     `long:"virtual" description:"run the schedulers alone, in virtual time"`
	Capacity bool     `long:"capacity" description:"measure the slopes that docs/CAPACITY.md is worked out from"`
	Spread   bool     `long:"spread" description:"simulate how configuration changes reach 9 to 300 members"`
	Seed     uint64   `long:"seed" value-name:"N" default:"1" description:"seed of the arrivals"`
	Policies []string `long:"policy" value-name:"NAME" description:"policy to run, repeatable; the default is all"`

	std *streams
}

func benchCommand(std *streams) command {
	return command{
		name:    "bench",
		short:   "Measure the system against its baselines on the same arrivals",
		example: "rattanlever bench --quick --html bench.html",
		data:    &benchOptions{std: std},
	}
}

// Execute runs the experiments and prints their figures.
func (o *benchOptions) Execute([]string) error {
	ctx, cancel := interruptible()
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

// writePage writes a page to a file.
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
