package rattanrig

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	startTimeout     = 15 * time.Second
	readyInterval    = 20 * time.Millisecond
	readyTimeout     = 500 * time.Millisecond
	gracePeriod      = 6 * time.Second
	settingsFileMode = 0o600
	// evacuateMillis is that of the deployment that asks for evacuations.
	evacuateMillis = 5000
)

// instance is an instance of the program that runs as a process of its own.
type instance struct {
	name, zone, ip string
	binary         string
	settingsFile   string
	outputFile     string
	storeAddress   string

	// disturbing is held while the instance is being disturbed.
	disturbing sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbedAt is when the last disturbance began or ended.
	disturbedAt time.Time
}

// newInstance writes the settings file of an instance.
func newInstance(config Config, store *rattansite.Store, name, zone, ip string, seeds []string) (*instance, error) {
	storeAddress, err := store.Listen()
	if err != nil {
		return nil, errors.Trace(err)
	}
	i := &instance{
		name: name, zone: zone, ip: ip, binary: config.Binary, storeAddress: storeAddress,
		settingsFile: filepath.Join(config.Directory, name+".json"),
		outputFile:   filepath.Join(config.Directory, name+".log"),
	}
	settings := rattansite.InstanceSettings{Name: name, IP: ip, Zone: zone, SeedIPs: seeds, StoreAddress: storeAddress}
	if slices.Contains(config.Kinds, ZoneEvacuated) {
		settings.EvacuateMillis = evacuateMillis
	}
	data, err := settings.File()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return i, errors.Trace(os.WriteFile(i.settingsFile, data, settingsFileMode))
}

// start starts the process, which appends to the output of the former ones.
func (i *instance) start() error {
	output, err := os.OpenFile(i.outputFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, settingsFileMode)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(i.binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.command, i.ended = command, ended
	i.disturbedAt = time.Now()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.disturbedAt = time.Now()
	if i.command != nil {
		// A process that has ended needs no signal.
		_ = i.command.Process.Signal(signal)
	}
}

// end sends a signal that ends the process and waits for its end, which is forced
// after the grace period. It reports whether it had to be forced.
func (i *instance) end(signal syscall.Signal) (forced bool) {
	i.signal(signal)
	i.mutex.Lock()
	ended := i.ended
	i.mutex.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	case <-time.After(gracePeriod):
	}
	i.signal(syscall.SIGKILL)
	<-ended
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

// waitReady waits until the instance is ready.
func (i *instance) waitReady() error {
	client := http.Client{Timeout: readyTimeout}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		response, err := client.Get("http://" + i.ip + ":" + rattansite.ReadinessPort + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready", i.name)
}
