package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort     = "7161"
	readinessPort = "7167"
	controlPort   = "7166"
	programPath   = "target/rattanlever"
)

// instance is one machine of the system with its process.
type instance struct {
	world          *world
	name, zone, ip string
	settings, log  string
	storeAddress   string
	mutex          sync.Mutex
	command        *exec.Cmd
	ended          chan struct{}
	startedAt      time.Time
	// stopped is set at the end of the case, after which no process is started.
	stopped bool
}

// addInstance writes the settings file of a machine.
func (w *world) addInstance(directory, name, zone, ip string, seeds []string) (*instance, error) {
	address, err := w.store.Listen()
	if err != nil {
		return nil, err
	}
	i := &instance{world: w, name: name, zone: zone, ip: ip, storeAddress: address, settings: filepath.Join(directory, name+".json"), log: filepath.Join(directory, name+".log")}
	for n := range seeds {
		seeds[n] = strings.TrimSuffix(seeds[n], ":"+controlPort) + ":" + controlPort
	}
	data, err := json.Marshal(map[string]any{
		"node_name": name, "role": "dispatcher", "machine_class": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": zone, "region": "ch-central",
		"zones":      map[string]string{"bern-a": "ch-central", "zurich-b": "ch-central"},
		"listen":     map[string]string{"front": ip + ":" + frontPort, "readiness": ip + ":" + readinessPort, "control": ip + ":" + controlPort},
		"port_range": []int{7720, 7735}, "seeds": seeds, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeatTime.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "contact_ms": contactTime.Milliseconds(), "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": gracePeriod.Seconds(), "loss_slack_ms": 200, "config_apply_ms": 2000,
			"max_hold_ms": maxHold.Milliseconds(), "stop_grace_ms": stopGrace.Milliseconds(), "gang_timeout_ms": gangTimeout.Milliseconds(), "cancel_ms": cancelTime.Milliseconds(), "visible_ms": 3000,
			"status_s": 120, "remote_penalty": remotePenalty, "checkpoint_s": checkpointWork.Seconds(), "lease_ttl_ms": 3000, "retransmit_ms": retransmitDelay.Milliseconds(),
		},
		"control_mode": "call",
		"platform":     map[string]any{"address": address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	})
	if err != nil {
		return nil, err
	}
	w.instances = append(w.instances, i)
	return i, os.WriteFile(i.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	output, err := os.OpenFile(i.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(programPath, "serve")
	command.Env = append(os.Environ(), "RATTANLEVER_NODE_FILE="+i.settings)
	command.Stdout, command.Stderr = output, output
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := command.Wait()
		i.world.log("instance %s ended: %v", i.name, err)
		close(ended)
	}()
	i.command, i.ended, i.startedAt = command, ended, time.Now()
	return nil
}

func (i *instance) signal(signal syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(signal)
	}
}

// kill ends the process at once, which must not be a surprise to the caller.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended
}

// running reports whether the process has not ended.
func (i *instance) running() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	select {
	case <-i.ended:
		return false
	default:
		return i.command != nil
	}
}

// ready reports whether the instance is ready for clients.
func (i *instance) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.ip + ":" + readinessPort + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (w *world) waitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, i := range w.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// home returns the instance that gave the last order to a worker of the zone. The
// low bits of a fence number are those of the address of the machine.
func (w *world) home(zone string) *instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var fence int64
	for _, k := range w.workers {
		if k.zone == zone {
			fence = max(fence, k.fence)
		}
	}
	for _, i := range w.instances {
		if i.number() == fence%4096 {
			return i
		}
	}
	return nil
}

// number returns the low bits of the address, which are those of fence numbers.
func (i *instance) number() int64 {
	var a, b, c, d int64
	_, _ = fmt.Sscanf(i.ip, "%d.%d.%d.%d", &a, &b, &c, &d)
	return (c<<8 | d) % 4096
}

// send sends one request to the instance and returns status and body.
func (i *instance) send(client *http.Client, method, path string, body []byte, wait time.Duration) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+i.ip+":"+frontPort+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
