// Command rig2 plays a small deployment for the cases of a review: processes of
// the program, with stand-ins of the platform's store, of workers and of clients,
// all on loopback addresses and the real clock. It checks the rules of the users'
// pages by what the stand-ins see.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// playLimit bounds the time of a case.
const playLimit = 100 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the logs of the processes")
	flag.Parse()
	code, err := play(*name, *record, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		code = exitNotRun
	}
	os.Exit(code)
}

// scenario is a case: the deployment that it needs and what happens there.
type scenario struct {
	zones, machines, workers int
	cpu                      int
	play                     func(w *world, trouble bool) error
}

// scenarios holds all cases by name.
var scenarios = map[string]scenario{
	"cancel-all-killed": {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelThenKillAll},
	"cancel-zone-gone":  {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelWithoutZone},
	"late-start":        {zones: 1, machines: 3, workers: 4, cpu: 16000, play: (*world).lateStartHomeKilled},
	"late-start-zone":   {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).lateStartZoneLost},
}

// play plays a case and returns its exit code.
func play(name, record, keep string) (int, error) {
	s, ok := scenarios[name]
	if !ok {
		return 0, fmt.Errorf("there is no case %q", name)
	}
	directory := keep
	if directory == "" {
		temporary, err := os.MkdirTemp("", "rig2-")
		if err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		directory = temporary
	}
	w, err := newWorld(record)
	if err != nil {
		return 0, err
	}
	defer w.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(playLimit):
		}
		fmt.Fprintln(os.Stderr, "rig2: the case takes too long or was interrupted")
		w.stop()
		os.Exit(exitNotRun)
	}()
	if err := w.deploy(directory, s); err != nil {
		return 0, err
	}
	if err := s.play(w, os.Getenv("TROUBLE") != "0"); err != nil {
		return 0, err
	}
	w.checkJobs()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.note("counts %v", w.counts)
	for _, text := range w.broken {
		fmt.Println(text)
	}
	if len(w.broken) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

var zoneNames = []string{"bern-a", "zurich-b", "lucerne-c"}

// deploy writes the desired state and starts workers and processes.
func (w *world) deploy(directory string, s scenario) error {
	if err := w.putConfig(1, "/q/", "/r/"); err != nil {
		return err
	}
	for zone := range s.zones {
		for n := range s.workers {
			kind := []string{"a", "a", "b"}[n%3]
			if _, err := w.addWorker(fmt.Sprintf("%s-w%d", zoneNames[zone], n), zoneNames[zone], kind, fmt.Sprintf("rack-%d-%d", zone, n/2), s.cpu, 65536); err != nil {
				return err
			}
		}
	}
	net := 1 + rand.IntN(14)
	var seeds []string
	for zone := range s.zones {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.1", 100+rand.IntN(100), 16*net+zone))
	}
	for zone := range s.zones {
		prefix := seeds[zone][:len(seeds[zone])-1]
		for n := range s.machines {
			ip := fmt.Sprintf("%s%d", prefix, n+1)
			if _, err := w.addInstance(directory, fmt.Sprintf("front-%s-%d", zoneNames[zone], n+1), zoneNames[zone], ip, slices.Clone(seeds)); err != nil {
				return err
			}
		}
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return w.waitReady(15 * time.Second)
}

// putConfig writes a desired state with a route for each prefix.
func (w *world) putConfig(version int, prefixes ...string) error {
	var routes []map[string]any
	for _, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "host": hostName, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "priority": 1,
			"service": serviceName, "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 60,
		})
	}
	return w.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": serviceName, "rejects_overload": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// stop ends all processes.
func (w *world) stop() {
	for _, i := range w.instances {
		i.mutex.Lock()
		i.stopped = true
		command := i.command
		i.mutex.Unlock()
		if command == nil {
			continue
		}
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.ended
	}
	w.store.Close()
	_ = w.record.Close()
}
