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
	InstanceListLag time.Duration `long:"instance-list-lag" value-name:"DURATION" default:"500ms" description:"time until readers see a change of the instance list"`
	Instances       []string      `long:"target" value-name:"NAME=ADDRESS,ZONE,SERVICE,SLOTS" description:"target in the instance list, repeatable"`

	std *streams
}

type standinTargetOptions struct {
	Count            int           `long:"count" value-name:"N" default:"1" description:"number of targets"`
	AvailabilityZone string        `long:"zone" value-name:"ZONE" default:"buda" description:"availability zone"`
	Service          string        `long:"service" value-name:"SERVICE" default:"planner" description:"service that the targets run"`
	Slots            int           `long:"slots" value-name:"N" default:"8" description:"tasks that a target runs at a time"`
	Cores            int           `long:"cores" value-name:"N" default:"30" description:"processors of a target"`
	MemoryMB         int           `long:"memory" value-name:"MB" default:"130000" description:"memory of a target"`
	RunTime          time.Duration `long:"run-time" value-name:"DURATION" default:"100ms" description:"run time of tasks whose payload has no RunTime"`
	Platform         string        `long:"platform" value-name:"ADDRESS" description:"stand-in platform that lists the targets"`
	Control          string        `long:"control" value-name:"ADDRESS" description:"IP address and port of the control interface"`

	std *streams
}

func standinCommand(std *streams) command {
	return command{
		name:  "standin",
		short: "Run stand-ins of the platform and of targets",
		subs: []command{
			{
				name:    "platform",
				short:   "Run a stand-in of the platform's key-value service and instance list",
				example: "rattanlever standin platform --address 127.0.0.1:7300",
				data:    &standinPlatformOptions{std: std},
			},
			{
				name:    "target",
				short:   "Run stand-ins of targets",
				example: "rattanlever standin target --count 4 --zone buda --service planner --platform 127.0.0.1:7300",
				data:    &standinTargetOptions{std: std},
			},
		},
	}
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (o *standinPlatformOptions) Execute([]string) error {
	if err := checkAddress("--address", o.Address); err != nil {
		return err
	}
	instances, err := parseInstances(o.Instances)
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
	platform.SetInstances(instances...)
	_, _ = fmt.Fprintln(o.std.out, "platform", platform.Address())
	ctx, cancel := interruptible()
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
	ctx, cancel := interruptible()
	defer cancel()
	for _, instance := range fleet.Instances() {
		_, _ = fmt.Fprintf(o.std.out, "target %s %s\n", instance.Name, instance.Address)
	}
	if o.Platform != "" {
		if err := rattanstandin.Announce(ctx, o.Platform, rattanstandin.InstanceChange{Set: fleet.Instances()}); err != nil {
			return errors.Annotate(err, "--platform")
		}
	}
	return fleet.Run(ctx)
}

// checkAddress checks the value of a flag; an empty one is left out.
func checkAddress(flag, address string) error {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError("%s: %q, want an IP address and a port", flag, address)
	}
	return nil
}

func parseInstances(texts []string) ([]rattanplatform.Instance, error) {
	instances := make([]rattanplatform.Instance, 0, len(texts))
	for _, text := range texts {
		instance, err := parseInstance(text)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// parseInstance parses NAME=ADDRESS,ZONE,SERVICE,SLOTS.
func parseInstance(text string) (rattanplatform.Instance, error) {
	var none rattanplatform.Instance
	fields, err := splitInstance(text)
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

func splitInstance(text string) ([]string, error) {
	name, rest, ok := strings.Cut(text, "=")
	fields := append([]string{name}, strings.Split(rest, ",")...)
	if !ok || len(fields) != 5 {
		return nil, usageError("--target %s: want NAME=ADDRESS,ZONE,SERVICE,SLOTS", text)
	}
	return fields, nil
}
