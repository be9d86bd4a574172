package rattanprocess

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattansite"
)

// The service of all targets, and the host and the prefix of its route.
const (
	Service = "service"
	Host    = "queue.example"
	Prefix  = "/queue/"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// logDelay is how long log lines take to reach the output.
	logDelay = 300 * time.Millisecond
	// maxTail is the length of the end of an output that is shown.
	maxTail = 2000
)

// Each deployment has the addresses of a network 127.x.y.*. The first one of a test
// process is random and the others follow it, so that deployments of parallel tests
// never share an address.
const (
	firstNetwork = 20
	networks     = 200
	subnetworks  = 250
)

var (
	randomNetwork = rand.IntN(networks * subnetworks)
	deployments   atomic.Int64
)

// Deployment consists of instances that run as processes, and of stand-ins for the
// platform and the targets in the test process.
type Deployment struct {
	Store     *rattansite.Store
	Checker   *rattansite.InvariantChecker
	Targets   []*rattansite.Target
	Instances []*Instance

	binary, directory string
	network           string
}

// NewDeployment returns a deployment without targets and instances. The settings files
// of its instances are written to the directory.
func NewDeployment(binary, directory string) (*Deployment, error) {
	store, err := rattansite.NewStore()
	if err != nil {
		return nil, err
	}
	network := (randomNetwork + int(deployments.Add(1))) % (networks * subnetworks)
	return &Deployment{
		Store: store, Checker: rattansite.NewInvariantChecker(), binary: binary, directory: directory,
		network: fmt.Sprintf("127.%d.%d.", firstNetwork+network/subnetworks, network%subnetworks),
	}, nil
}

// AddTarget starts a target. The service, the labels, the heartbeat interval and the
// stand-ins that it uses are those of the deployment.
func (d *Deployment) AddTarget(config rattansite.TargetConfig) (*rattansite.Target, error) {
	config.Service, config.Labels, config.Heartbeat = Service, []string{"a", "r1-1"}, heartbeatInterval
	config.Store, config.Checker = d.Store, d.Checker
	target, err := rattansite.NewTarget(config)
	if err != nil {
		return nil, err
	}
	d.Targets = append(d.Targets, target)
	return target, nil
}

// AddInstance writes the settings file of an instance, without starting its process.
// The instance has an address of its own, by which it reaches the store, and knows the
// instances that were added before.
func (d *Deployment) AddInstance(settings rattansite.InstanceSettings) (*Instance, error) {
	storeAddress, err := d.Store.Listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	settings.StoreAddress, settings.IP = storeAddress, fmt.Sprintf("%s%d", d.network, 10+len(d.Instances))
	for _, other := range d.Instances {
		settings.SeedIPs = append(settings.SeedIPs, other.IP)
	}
	instance, err := newInstance(d.binary, d.directory, settings)
	if err != nil {
		return nil, err
	}
	d.Instances = append(d.Instances, instance)
	return instance, nil
}

// Home returns the home of a zone, which is the instance with the highest fence in the
// log lines about changes of homes, or nil if there is none.
func (d *Deployment) Home(zone string) *Instance {
	time.Sleep(logDelay)
	var home *Instance
	latestFence := 0.0
	for _, instance := range d.Instances {
		for line := range strings.Lines(instance.Output()) {
			var entry struct {
				Message, Home string
				Fence         float64
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "home changed" || entry.Fence <= latestFence {
				continue
			}
			for _, candidate := range d.Instances {
				if candidate.Name == entry.Home && candidate.Zone == zone {
					home, latestFence = candidate, entry.Fence
				}
			}
		}
	}
	return home
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	for _, instance := range d.Instances {
		instance.End(syscall.SIGKILL)
	}
	for _, target := range d.Targets {
		target.Close()
	}
	d.Store.Close()
}

// reporter is the part of a test that Report needs.
type reporter interface {
	Errorf(format string, arguments ...any)
	Logf(format string, arguments ...any)
	Failed() bool
}

// jobIDPattern matches the ID of a job.
var jobIDPattern = regexp.MustCompile("[0-9a-f]{16}")

// Report makes a test fail for each violation of an invariant, with the log lines about
// its job. If the test has failed, it logs the changes of homes and targets and the end
// of each output.
func (d *Deployment) Report(test reporter) {
	for _, violation := range d.Checker.Violations() {
		test.Errorf("invariant violated: %s", violation)
		if id := jobIDPattern.FindString(violation); id != "" {
			d.LogLines(test, id)
		}
	}
	if test.Failed() {
		d.LogLines(test, `"home `, `"target `)
		for _, instance := range d.Instances {
			test.Logf("%s: %s", instance.Name, Tail(instance.Output()))
		}
	}
}

// LogLines logs the lines of all outputs that contain one of the texts.
func (d *Deployment) LogLines(test reporter, texts ...string) {
	time.Sleep(logDelay)
	for _, instance := range d.Instances {
		var lines strings.Builder
		for line := range strings.Lines(instance.Output()) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				lines.WriteString(line)
			}
		}
		if lines.Len() > 0 {
			test.Logf("%s: lines with %q:\n%s", instance.Name, texts, lines.String())
		}
	}
}

// Tail returns the end of an output.
func Tail(text string) string {
	return text[max(0, len(text)-maxTail):]
}
