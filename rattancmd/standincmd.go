package rattancmd

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

type standinPlatformOptions struct {
	Address         string        `long:"address" value-name:"ADDRESS" default:"127.0.0.1:7300" description:"IP address and port to listen on"`
	WriteLimit      float64       `long:"write-limit" value-name:"RATE" default:"300" description:"writes per second"`
	ReadLimit       float64       `long:"read-limit" value-name:"RATE" default:"2000" description:"reads per second"`
	InstanceListLag time.Duration `long:"instance-list-lag" value-name:"DURATION" default:"500ms" description:"delay until readers see a change of the instance list"`
	Targets         []string      `long:"target" value-name:"NAME=ADDRESS,ZONE,SERVICE,SLOTS" description:"target to put into the instance list, repeatable"`

	std *streams
}

type standinTargetOptions struct {
	Count            int           `long:"count" value-name:"N" default:"1" description:"number of targets to run"`
	AvailabilityZone string        `long:"zone" value-name:"ZONE" default:"buda" description:"availability zone"`
	Service          string        `long:"service" value-name:"SERVICE" default:"planner" description:"service that the targets run"`
	Slots            int           `long:"slots" value-name:"N" default:"8" description:"number of tasks that a target runs concurrently"`
	Cores            int           `long:"cores" value-name:"N" default:"30" description:"CPU cores of each target"`
	MemoryMB         int           `long:"memory" value-name:"MB" default:"130000" description:"memory of each target"`
	RunTime          time.Duration `long:"run-time" value-name:"DURATION" default:"100ms" description:"run time of tasks whose payload does not set RunTime"`
	Platform         string        `long:"platform" value-name:"ADDRESS" description:"stand-in platform whose instance list the targets are added to"`
	Control          string        `long:"control" value-name:"ADDRESS" description:"IP address and port of the interface for fault injection"`

	std *streams
}

func standinCommand(std *streams) command {
	return command{
		name:    "standin",
		summary: "Run stand-ins for the platform and for targets",
		subcommands: []command{
			{
				name:    "platform",
				summary: "Run a stand-in for the platform's key-value service and instance list",
				example: "rattanlever standin platform --address 127.0.0.1:7300",
				options: &standinPlatformOptions{std: std},
			},
			{
				name:    "target",
				summary: "Run stand-ins for targets",
				example: "rattanlever standin target --count 4 --zone buda --service planner --platform 127.0.0.1:7300",
				options: &standinTargetOptions{std: std},
			},
		},
	}
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (o *standinPlatformOptions) Execute([]string) error {
	if err := checkAddress("--address", o.Address); err != nil {
		return err
	}
	targets, err := parseTargets(o.Targets)
	if err != nil {
		return err
	}
	platform, err := rattanstandin.NewPlatform(rattanstandin.PlatformOptions{
		Address:         o.Address,
		WriteLimit:      o.WriteLimit,
		ReadLimit:       o.ReadLimit,
		InstanceListLag: rattanjson.Duration(o.InstanceListLag),
	})
	if err != nil {
		return errors.Annotate(err, "--address")
	}
	platform.SetInstances(targets...)
	_, _ = fmt.Fprintln(o.std.out, "platform", platform.Address())
	ctx, cancel := signalContext()
	defer cancel()
	return platform.Run(ctx)
}

// Execute runs the stand-ins until SIGINT or SIGTERM.
func (o *standinTargetOptions) Execute([]string) error {
	if o.Count < 1 || o.Slots < 1 {
		return usageError("--count and --slots: want at least 1")
	}
	if err := checkAddress("--platform", o.Platform); err != nil {
		return err
	}
	if err := checkAddress("--control", o.Control); err != nil {
		return err
	}
	fleet, err := rattanstandin.NewTargetFleet(rattanstandin.TargetFleetOptions{
		Count:            o.Count,
		NamePrefix:       o.AvailabilityZone + "-" + o.Service,
		AvailabilityZone: o.AvailabilityZone,
		Service:          o.Service,
		Cores:            o.Cores,
		MemoryMB:         o.MemoryMB,
		ControlAddress:   o.Control,
		Target:           rattanstandin.TargetOptions{Slots: o.Slots, RunTime: rattanjson.Duration(o.RunTime), Echo: true},
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	for _, target := range fleet.Instances() {
		_, _ = fmt.Fprintf(o.std.out, "target %s %s\n", target.Name, target.Address)
	}
	if o.Platform != "" {
		if err := rattanstandin.PostInstanceChange(ctx, o.Platform, rattanstandin.InstanceChange{Set: fleet.Instances()}); err != nil {
			return errors.Annotate(err, "--platform")
		}
	}
	return fleet.Run(ctx)
}

// checkAddress checks that the value of a flag is an IP address and a port. An
// empty value is valid, because it means that the flag is not set.
func checkAddress(flag, address string) error {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError("%s: %q, want an IP address and a port", flag, address)
	}
	return nil
}

func parseTargets(texts []string) ([]rattanplatform.Instance, error) {
	targets := make([]rattanplatform.Instance, 0, len(texts))
	for _, text := range texts {
		target, err := parseTarget(text)
		if err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	return targets, nil
}

// parseTarget parses NAME=ADDRESS,ZONE,SERVICE,SLOTS.
func parseTarget(text string) (rattanplatform.Instance, error) {
	var none rattanplatform.Instance
	fields, err := splitTarget(text)
	if err != nil {
		return none, err
	}
	slots, err := strconv.Atoi(fields[4])
	if err != nil || slots < 1 {
		return none, usageError("--target %s: SLOTS: want at least 1", text)
	}
	return rattanplatform.Instance{
		Name:             fields[0],
		Address:          fields[1],
		AvailabilityZone: fields[2],
		Service:          fields[3],
		Slots:            slots,
		Role:             rattanplatform.RoleTarget,
	}, nil
}

func splitTarget(text string) ([]string, error) {
	name, rest, ok := strings.Cut(text, "=")
	fields := append([]string{name}, strings.Split(rest, ",")...)
	if !ok || len(fields) != 5 {
		return nil, usageError("--target %s: want NAME=ADDRESS,ZONE,SERVICE,SLOTS", text)
	}
	return fields, nil
}
