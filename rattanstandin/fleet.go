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

// TargetsPerRack is the number of targets that a fleet places in each rack.
const TargetsPerRack = 8

// TargetFleetOptions configures a TargetFleet.
type TargetFleetOptions struct {
	// Count is the number of targets.
	Count int
	// NamePrefix is the prefix of the targets' names, which end in "-" and a
	// number from 1. The default is the availability zone, or "target".
	NamePrefix       string
	AvailabilityZone string
	// Service, Cores, MemoryMB and Accelerators are the values in the instance
	// list entry of each target.
	Service      string
	Cores        int
	MemoryMB     int
	Accelerators int
	// Host is the IP address that all targets listen on; the default is
	// 127.0.0.1.
	Host string
	// FirstPort is the port of the first target; the others use the ports after
	// it. The default of 0 uses free ports.
	FirstPort int
	// Target configures each target; its Name and Address are ignored.
	Target TargetOptions
	// ControlAddress is the IP address and port of the control interface. By
	// default there is none.
	ControlAddress string
}

// TargetFleet runs several simulated targets in one process, each on its own
// port. They share one start log.
type TargetFleet struct {
	// Targets is ordered by number.
	Targets []*Target

	options       TargetFleetOptions
	startLog      *StartLog
	controlServer *http.Server
	// controlAddress is empty when there is no control interface.
	controlAddress    string
	controlServerDone chan struct{}
}

// NewTargetFleet starts a fleet. Its targets listen when it returns.
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
	fleet := &TargetFleet{options: options, startLog: options.Target.Log}
	for i := range options.Count {
		targetOptions := options.Target
		targetOptions.Name = fmt.Sprintf("%s-%d", options.NamePrefix, i+1)
		targetOptions.Address = options.targetAddress(i)
		target, err := NewTarget(targetOptions)
		if err != nil {
			fleet.Close()
			return nil, errors.Trace(err)
		}
		fleet.Targets = append(fleet.Targets, target)
	}
	if options.ControlAddress == "" {
		return fleet, nil
	}
	if err := fleet.startControlServer(); err != nil {
		fleet.Close()
		return nil, errors.Trace(err)
	}
	return fleet, nil
}

// targetAddress returns the listen address of the target with the given index.
func (o *TargetFleetOptions) targetAddress(index int) string {
	port := 0
	if o.FirstPort > 0 {
		port = o.FirstPort + index
	}
	return net.JoinHostPort(o.Host, strconv.Itoa(port))
}

// Close stops the control interface and all targets.
func (f *TargetFleet) Close() {
	if f.controlServer != nil {
		_ = f.controlServer.Close()
		<-f.controlServerDone
	}
	for _, target := range f.Targets {
		target.Close()
	}
}

// ControlAddress returns the IP address and port of the control interface, or
// "" if there is none.
func (f *TargetFleet) ControlAddress() string { return f.controlAddress }

// Instances returns the instance list entries of the targets.
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

// Log returns the start log that the targets share.
func (f *TargetFleet) Log() *StartLog { return f.startLog }

// Run waits until the context ends, then closes the fleet.
func (f *TargetFleet) Run(ctx context.Context) error {
	defer f.Close()
	<-ctx.Done()
	return nil
}

// Target returns the target with the given name, or nil.
func (f *TargetFleet) Target(name string) *Target {
	for _, target := range f.Targets {
		if target.Name() == name {
			return target
		}
	}
	return nil
}
