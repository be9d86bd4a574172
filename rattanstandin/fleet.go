package rattanstandin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanplatform"
)

// TargetsPerRack is the number of targets that a fleet puts into one rack.
const TargetsPerRack = 8

// TargetFleetOptions configure a fleet.
type TargetFleetOptions struct {
	// Count is the number of targets.
	Count int
	// NamePrefix is followed by "-" and a number from 1 in the targets' names;
	// the default is the availability zone, or "target".
	NamePrefix       string
	AvailabilityZone string
	// Service, Cores, MemoryMB and Accelerators describe each target in the
	// instance list.
	Service      string
	Cores        int
	MemoryMB     int
	Accelerators int
	// Host is the IP address that all targets listen on; the default is that
	// of the loopback interface.
	Host string
	// FirstPort is the port of the first target; the others follow it. The
	// default of 0 takes free ports.
	FirstPort int
	// Target configures each target; its Name and Address are ignored.
	Target TargetOptions
	// ControlAddress is the IP address and port of the control interface; the
	// default is none.
	ControlAddress string
}

// TargetFleet is a number of targets in one process, each with its own port of
// the loopback interface. They share one start log.
type TargetFleet struct {
	// Targets are in the order of their numbers.
	Targets []*Target

	options TargetFleetOptions
	log     *StartLog
	control *http.Server
	// controlAddress is empty when there is no control interface.
	controlAddress string
	served         chan struct{}
}

// NewTargetFleet returns a fleet whose targets listen.
func NewTargetFleet(options TargetFleetOptions) (*TargetFleet, error) {
	if options.NamePrefix == "" {
		options.NamePrefix = options.AvailabilityZone
	}
	if options.NamePrefix == "" {
		options.NamePrefix = "target"
	}
	if options.Host == "" {
		options.Host = "127.0.0.1"
	}
	if options.Target.Log == nil {
		options.Target.Log = NewStartLog()
	}
	fleet := &TargetFleet{options: options, log: options.Target.Log}
	for i := range options.Count {
		target := options.Target
		target.Name = fmt.Sprintf("%s-%d", options.NamePrefix, i+1)
		target.Address = options.address(i)
		added, err := NewTarget(target)
		if err != nil {
			fleet.Close()
			return nil, errors.Trace(err)
		}
		fleet.Targets = append(fleet.Targets, added)
	}
	if options.ControlAddress == "" {
		return fleet, nil
	}
	if err := fleet.startControl(); err != nil {
		fleet.Close()
		return nil, errors.Trace(err)
	}
	return fleet, nil
}

// address returns the address of the target of an index.
func (o *TargetFleetOptions) address(index int) string {
	port := 0
	if o.FirstPort > 0 {
		port = o.FirstPort + index
	}
	return net.JoinHostPort(o.Host, strconv.Itoa(port))
}

// Close ends all targets.
func (f *TargetFleet) Close() {
	if f.control != nil {
		_ = f.control.Close()
		<-f.served
	}
	for _, target := range f.Targets {
		target.Close()
	}
}

// ControlAddress returns the IP address and port of the control interface, or
// "" if there is none.
func (f *TargetFleet) ControlAddress() string { return f.controlAddress }

// Instances returns the targets as the instance list has them.
func (f *TargetFleet) Instances() []rattanplatform.Instance {
	instances := make([]rattanplatform.Instance, len(f.Targets))
	for i, target := range f.Targets {
		instances[i] = rattanplatform.Instance{
			Name:             target.Name(),
			Address:          target.Address(),
			AvailabilityZone: f.options.AvailabilityZone,
			Rack:             fmt.Sprintf("%s-rack-%d", f.options.NamePrefix, i/TargetsPerRack+1),
			Role:             rattanplatform.RoleTarget,
			Service:          f.options.Service,
			Slots:            target.options.Slots,
			Cores:            f.options.Cores,
			MemoryMB:         f.options.MemoryMB,
			Accelerators:     f.options.Accelerators,
		}
	}
	return instances
}

// Log returns the log of the starts at all targets.
func (f *TargetFleet) Log() *StartLog { return f.log }

// Run serves until the context ends, then closes the fleet.
func (f *TargetFleet) Run(ctx context.Context) error {
	defer f.Close()
	<-ctx.Done()
	return nil
}

// Target returns the target of a name, or nil.
func (f *TargetFleet) Target(name string) *Target {
	for _, target := range f.Targets {
		if target.Name() == name {
			return target
		}
	}
	return nil
}
