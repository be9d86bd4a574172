package rattancmd

import (
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattandemo"
)

// ErrDemo says that the demo found an answer that was doubled, partial or
// untrue.
const ErrDemo = errors.ConstError("the system broke a promise")

const (
	minDemoDuration = time.Second
	maxDemoDuration = 10 * time.Minute
)

type demoOptions struct {
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the workload"`
	Duration time.Duration `long:"duration" value-name:"DURATION" default:"4s" description:"how long jobs are submitted, 1s to 10m"`
	Plant    string        `long:"plant" value-name:"FAULT" choice:"double" choice:"partial" choice:"untrue" description:"injects a fault that the demo must find"`

	std *streams
}

func demoCommand(std *streams) command {
	return command{
		name:    "demo",
		short:   "Run both users' workloads on a whole system in one process",
		example: "go run . demo",
		data:    &demoOptions{std: std},
	}
}

// Execute runs the demo and fails when an invariant was broken.
func (o *demoOptions) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	fault, err := rattandemo.ParseFault(o.Plant)
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
		return errors.WithType(errors.Errorf("%d violations", violations), ErrDemo)
	}
	return nil
}
