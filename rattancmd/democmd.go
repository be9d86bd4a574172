package rattancmd

import (
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattandemo"
)

// ErrInvariantViolated reports that the demo found a task that started twice, an
// incomplete answer or a false one.
const ErrInvariantViolated = errors.ConstError("the system violated an invariant")

const (
	minDemoDuration = time.Second
	maxDemoDuration = 10 * time.Minute
)

type demoOptions struct {
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"random seed of the workload"`
	Duration time.Duration `long:"duration" value-name:"DURATION" default:"4s" description:"time during which jobs are submitted, 1s to 10m"`
	Fault    string        `long:"plant" value-name:"FAULT" choice:"double" choice:"partial" choice:"untrue" description:"inject a fault that the demo must detect"`

	std *streams
}

func demoCommand(std *streams) command {
	return command{
		name:    "demo",
		summary: "Run two example workloads on a complete system in one process",
		example: "go run . demo",
		options: &demoOptions{std: std},
	}
}

// Execute runs the demo and fails if an invariant was violated.
func (o *demoOptions) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	fault, err := rattandemo.ParseFault(o.Fault)
	if err != nil {
		return usageError("--plant: %v", err)
	}
	if o.Duration < minDemoDuration || o.Duration > maxDemoDuration {
		return usageError("--duration: %v, want %v to %v", o.Duration, minDemoDuration, maxDemoDuration)
	}
	violations, err := rattandemo.Run(ctx, rattandemo.Options{Out: o.std.out, Seed: o.Seed, Duration: o.Duration, Fault: fault})
	if err != nil {
		return errors.Trace(err)
	}
	if violations > 0 {
		return errors.WithType(errors.Errorf("%d violations", violations), ErrInvariantViolated)
	}
	return nil
}
