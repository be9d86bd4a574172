package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	program      = "target/rattanlever"
	service      = "listakeszito"
	host         = "lists.example"
	prefix       = "/lists/"
	workerCPU    = 32000
	startTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Bounds of the site.
const (
	cancelBound  = 3000 * time.Millisecond
	stopGrace    = 50 * time.Millisecond
	gracePeriod  = 6 * time.Second
	contactBound = 3000 * time.Millisecond
)

// errNotReady means that an instance did not become ready in time.
var errNotReady = errors.New("not ready in time")

// instance is a process of the system on a machine with an address of its own.
type instance struct {
	name, ip, zone string
	// front, readiness and control are its ports.
	front, readiness, control string
	settings                  string
	logPath                   string
	command                   *exec.Cmd
	ended                     chan struct{}
}

// deployment is a small system with its platform.
type deployment struct {
	record    *recorder
	directory string
	store     *rattansite.Store
	workers   []*worker
	instances []*instance
}

// newDeployment starts the given number of instances and workers in each zone and
// waits until the instances are ready. The caller closes it also after an error.
func newDeployment(record *recorder, zones []string, instances, workers int) (*deployment, error) {
	d := &deployment{record: record}
	var err error
	if d.directory, err = os.MkdirTemp("", "rattanlever-review"); err != nil {
		return d, err
	}
	if d.store, err = rattansite.NewStore(); err != nil {
		return d, err
	}
	if err := d.putConfig(); err != nil {
		return d, err
	}
	network := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
	for _, zone := range zones {
		for number := range workers {
			w, err := newWorker(fmt.Sprintf("i-%s-%d", zone, number+1), zone, service, workerCPU, d.store, record)
			if err != nil {
				return d, err
			}
			d.workers = append(d.workers, w)
		}
		for number := range instances {
			i := &instance{name: fmt.Sprintf("front-%s-%d", zone, number+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, 10+len(d.instances))}
			if err := choosePorts(i); err != nil {
				return d, err
			}
			d.instances = append(d.instances, i)
		}
	}
	for _, i := range d.instances {
		if err := errors.Join(d.writeSettings(i, zones), d.start(i)); err != nil {
			return d, err
		}
	}
	return d, d.waitReady()
}

// putConfig writes the desired state.
func (d *deployment) putConfig() error {
	return d.store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lists", "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 0, "service": service, "max_attempts": 3, "slack_factor": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// choosePorts chooses free ports of the instance's address.
func choosePorts(i *instance) error {
	for _, port := range []*string{&i.front, &i.readiness, &i.control} {
		listener, err := net.Listen("tcp", i.ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		_, *port, err = net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of an instance.
func (d *deployment) writeSettings(i *instance, zones []string) error {
	i.settings = filepath.Join(d.directory, i.name+".json")
	i.logPath = filepath.Join(d.directory, i.name+".log")
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "hu-central"
	}
	var seeds []string
	for _, other := range d.instances[:min(3, len(d.instances))] {
		seeds = append(seeds, other.ip+":"+other.control)
	}
	data, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "dispatcher", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": i.ip, "zone": i.zone, "region": "hu-central", "zones": regions,
		"listen":     map[string]string{"front": i.ip + ":" + i.front, "readiness": i.ip + ":" + i.readiness, "control": i.ip + ":" + i.control},
		"port_range": []int{7720, 7735}, "seeds": seeds, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"control_mode": "call", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"platform": map[string]any{"address": d.store.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
		"bounds": map[string]any{
			"contact_ms": contactBound.Milliseconds(), "grace_s": gracePeriod.Seconds(), "max_hold_ms": maxLease.Milliseconds(),
			"stop_grace_ms": stopGrace.Milliseconds(), "cancel_ms": cancelBound.Milliseconds(), "remote_penalty": 1.5, "retransmit_ms": 1300,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, data, 0o600)
}

// start starts the process of an instance with the command of the deploy file.
func (d *deployment) start(i *instance) error {
	output, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), "RATTANLEVER_NODE_FILE="+i.settings)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.command, i.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of an instance.
func (d *deployment) signal(i *instance, signal syscall.Signal) {
	d.record.line("%s gets signal %s", i.name, signal)
	_ = i.command.Process.Signal(signal)
}

// ready reports whether an instance answers the readiness check.
func (i *instance) ready() bool {
	client := http.Client{Timeout: checkTimeout}
	response, err := client.Get("http://" + i.ip + ":" + i.readiness + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready and the homes have settled.
func (d *deployment) waitReady() error {
	for _, i := range d.instances {
		for deadline := time.Now().Add(startTimeout); !i.ready(); time.Sleep(pollInterval) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: %w", i.name, errNotReady)
			}
		}
	}
	time.Sleep(contactBound)
	d.record.line("%d instances are ready, %d workers", len(d.instances), len(d.workers))
	return nil
}

// home returns the instance that controls the workers of a zone: the one with the
// highest fence number in the log lines on changes of the home.
func (d *deployment) home(zone string) *instance {
	var home *instance
	latest := int64(0)
	for _, i := range d.instances {
		data, err := os.ReadFile(i.logPath)
		if err != nil || i.zone != zone {
			continue
		}
		for line := range strings.Lines(string(data)) {
			var entry struct {
				Message, Home string
				Fence         int64
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "home changed" || entry.Fence <= latest {
				continue
			}
			for _, candidate := range d.instances {
				if candidate.name == entry.Home {
					home, latest = candidate, entry.Fence
				}
			}
		}
	}
	return home
}

// history returns the starts and ends of a job's runs on all workers.
func (d *deployment) history(job string) []runEvent {
	var events []runEvent
	for _, w := range d.workers {
		for _, event := range w.history() {
			if strings.HasPrefix(event.task, job+".") {
				events = append(events, event)
			}
		}
	}
	return events
}

// close ends all processes of the deployment.
func (d *deployment) close() {
	for _, i := range d.instances {
		if i.command != nil {
			_ = i.command.Process.Kill()
			<-i.ended
		}
	}
	for _, w := range d.workers {
		w.close()
	}
	if d.store != nil {
		d.store.Close()
	}
	_ = os.RemoveAll(d.directory)
}
