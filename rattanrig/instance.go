package rattanrig

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	startTimeout   = 15 * time.Second
	readyInterval  = 20 * time.Millisecond
	readyTimeout   = 500 * time.Millisecond
	gracePeriod    = 6 * time.Second
	outputFileMode = 0o600
	// evacuateMillis is that of the deployment that asks for evacuations.
	evacuateMillis = 5000
)

// instance is an instance that is disturbed.
type instance struct {
	*rattanprocess.Instance
	outputFile string

	// disturbing is held while the instance is being disturbed.
	disturbing sync.Mutex

	mutex sync.Mutex
	// disturbedAt is when the last disturbance began or ended.
	disturbedAt time.Time
}

// addInstance adds an instance to the deployment, without starting its process.
func (r *rig) addInstance(name, zone string) (*instance, error) {
	settings := rattansite.InstanceSettings{Name: name, Zone: zone, MemoryMB: machineMB, MaxDescriptors: maxDescriptors}
	if slices.Contains(r.config.Kinds, ZoneEvacuated) {
		settings.EvacuateMillis = evacuateMillis
	}
	added, err := r.deployment.AddInstance(settings)
	if err != nil {
		return nil, err
	}
	i := &instance{Instance: added, outputFile: filepath.Join(r.config.Directory, name+".log")}
	r.instances = append(r.instances, i)
	return i, nil
}

// start starts the process, which appends to the output of the former ones.
func (i *instance) start() error {
	output, err := os.OpenFile(i.outputFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, outputFileMode)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = output.Close() }()
	if err := i.StartWithOutput(output); err != nil {
		return err
	}
	i.disturbed()
	return nil
}

// disturbed records that a disturbance begins or ends now.
func (i *instance) disturbed() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.disturbedAt = time.Now()
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.disturbed()
	// A process that has ended needs no signal.
	_ = i.Signal(signal)
}

// end sends a signal that ends the process and waits for its end, which is forced
// after the grace period. It reports whether it had to be forced.
func (i *instance) end(signal syscall.Signal) (forced bool) {
	i.signal(signal)
	select {
	case <-i.Ended():
		return false
	case <-time.After(gracePeriod):
	}
	i.disturbed()
	i.End(syscall.SIGKILL)
	return true
}

// undisturbedSince reports whether the instance has served without a disturbance
// since the given time.
func (i *instance) undisturbedSince(start time.Time) bool {
	if !i.disturbing.TryLock() {
		return false
	}
	defer i.disturbing.Unlock()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.disturbedAt.Before(start)
}
