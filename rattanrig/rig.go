// Package rattanrig plays a deployment of real processes with stand-ins for the
// platform and the targets under disturbances that are drawn from a seed, and
// checks the guarantees that callers and targets can see.
package rattanrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	targetMilliCPU = 16000
	targetMemoryMB = 65536
	// machineMB is the memory of each machine in the settings, maxDescriptors the number
	// of descriptors of its process.
	machineMB      = 144
	maxDescriptors = 1500
	logFileName    = "events.log"
)

// Config configures a run of the rig.
type Config struct {
	// Binary is the path of the program, Directory where the settings and the
	// output of its processes are written.
	Binary    string
	Directory string
	// Seed determines the disturbances and the jobs. The moments at which
	// processes act differ between runs.
	Seed             uint64
	Zones            []string
	InstancesPerZone int
	TargetsPerZone   int
	Callers          int
	// LoadTime is how long callers submit jobs and disturbances begin.
	LoadTime time.Duration
	// DisturbanceInterval is the mean time between two disturbances.
	DisturbanceInterval time.Duration
	// Kinds are the kinds of disturbances, all if it is empty.
	Kinds []Kind
}

// Report is the result of a run.
type Report struct {
	Seed         uint64
	Disturbances int
	Jobs         int
	Succeeded    int
	Failed       int
	Refused      int
	Cancelled    int
	// Unanswered is the number of requests without an answer, CancelsRefused the
	// number of cancellations that were answered as if there were no such job.
	Unanswered     int
	CancelsRefused int
	// PeakMB is the highest sum of resident memory and bytes in queues of an instance, in
	// megabytes.
	PeakMB     int
	Violations []string
}

// String returns a line with the counts, and a line for each violation.
func (r *Report) String() string {
	line := fmt.Sprintf("seed %d: %d disturbances, %d jobs, %d succeeded, %d failed, %d refused, %d cancelled, %d requests unanswered, %d cancellations refused, peak of %d MB, %d violations",
		r.Seed, r.Disturbances, r.Jobs, r.Succeeded, r.Failed, r.Refused, r.Cancelled, r.Unanswered, r.CancelsRefused, r.PeakMB, len(r.Violations))
	return strings.Join(append([]string{line}, r.Violations...), "\n")
}

// rig is a deployment in a run.
type rig struct {
	config     Config
	deployment *rattanprocess.Deployment
	instances  []*instance
	targets    []*disturbedTarget
	// evacuating holds a lock for each zone that is held while it is evacuated.
	evacuating []sync.Mutex
	log        *os.File
	memory     []*rattanprocess.MemoryMeter

	// stateMutex is held while a desired state is written, version is that of the last.
	stateMutex sync.Mutex
	version    int

	mutex  sync.Mutex
	report Report
}

// disturbedTarget is a target with a lock that is held while it is disturbed.
type disturbedTarget struct {
	*rattansite.Target
	name       string
	disturbing sync.Mutex
}

// Run plays one seed and returns what was seen.
func Run(ctx context.Context, config Config) (*Report, error) {
	r := &rig{config: config, evacuating: make([]sync.Mutex, len(config.Zones)), report: Report{Seed: config.Seed}}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	r.play(ctx)
	r.checkProcesses()
	r.report.Violations = append(r.report.Violations, r.deployment.Checker.Violations()...)
	for _, violation := range r.report.Violations {
		r.record("violation: %s", violation)
	}
	return &r.report, nil
}

// open starts the deployment and waits until it is ready.
func (r *rig) open() error {
	var err error
	if r.log, err = os.Create(filepath.Join(r.config.Directory, logFileName)); err != nil {
		return errors.Trace(err)
	}
	if r.deployment, err = rattanprocess.NewDeployment(r.config.Binary, r.config.Directory); err != nil {
		return err
	}
	r.deployment.Checker.Observe = func(event string) { r.record("%s", event) }
	if err := r.putDesiredState(defaultBodyBytes); err != nil {
		return err
	}
	for _, zone := range r.config.Zones {
		for number := range r.config.TargetsPerZone {
			if err := r.addTarget(fmt.Sprintf("i-%s-%d", zone, number+1), zone); err != nil {
				return err
			}
		}
		for number := range r.config.InstancesPerZone {
			instance, err := r.addInstance(fmt.Sprintf("front-%s-%d", zone, number+1), zone)
			if err != nil {
				return err
			}
			if err := instance.start(); err != nil {
				return err
			}
		}
	}
	for _, instance := range r.instances {
		r.memory = append(r.memory, instance.StartMemoryMeter())
		if err := instance.WaitReady(&http.Client{Timeout: readyTimeout}, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// putDesiredState writes a further desired state with the limit for bodies.
func (r *rig) putDesiredState(maxBodyBytes int) error {
	r.stateMutex.Lock()
	defer r.stateMutex.Unlock()
	r.version++
	r.record("desired state %d", r.version)
	return errors.Trace(r.deployment.Store.PutDesiredState(rattansite.DesiredState{
		Version: r.version, Service: rattanprocess.Service, Host: rattanprocess.Host, Prefixes: []string{rattanprocess.Prefix}, MaxBodyBytes: maxBodyBytes,
	}))
}

func (r *rig) addTarget(id, zone string) error {
	target, err := r.deployment.AddTarget(rattansite.TargetConfig{ID: id, Zone: zone, MilliCPU: targetMilliCPU, MemoryMB: targetMemoryMB})
	if err != nil {
		return err
	}
	r.targets = append(r.targets, &disturbedTarget{Target: target, name: id})
	return nil
}

// play runs callers and disturbances until all have ended.
func (r *rig) play(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, r.config.LoadTime)
	defer cancel()
	var running sync.WaitGroup
	for number := range r.config.Callers {
		running.Go(func() { newCaller(r, number).run(loadCtx) })
	}
	running.Go(func() { r.disturb(loadCtx) })
	running.Wait()
}

// checkProcesses checks that all processes live and that what they hold, with the bytes in
// the queues of their connections, has stayed within the memory of their machines.
func (r *rig) checkProcesses() {
	for number, instance := range r.instances {
		if !instance.Alive() {
			r.violate("%s has ended by itself", instance.Name)
		}
		peaks, err := r.memory[number].End()
		if err != nil {
			r.violate("memory of %s: %v", instance.Name, err)
		}
		r.count(func(report *Report) { report.PeakMB = max(report.PeakMB, peaks.Resident+peaks.Queued) })
		if peaks.Resident+peaks.Queued > machineMB {
			r.violate("%s: %d MB resident and %d MB in queues, machine of %d", instance.Name, peaks.Resident, peaks.Queued, machineMB)
		}
	}
}

func (r *rig) close() {
	if r.deployment != nil {
		r.deployment.Close()
	}
	if r.log != nil {
		_ = r.log.Close()
	}
}

// record writes a line to the log of events.
func (r *rig) record(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The log is an aid; the report does not depend on it.
	_, _ = fmt.Fprintf(r.log, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, arguments...))
}

// count changes the report.
func (r *rig) count(change func(*Report)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.report)
}

// violate records a violation that a caller has seen.
func (r *rig) violate(format string, arguments ...any) {
	text := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, arguments...)
	r.count(func(report *Report) { report.Violations = append(report.Violations, text) })
}

// random returns a source of random numbers that is determined by the seed and the
// stream.
func (r *rig) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.config.Seed, stream))
}
