package rattanprofile

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	zoneName    = "zone"
	serviceName = "service"
	hostName    = "queue.example"
	pathPrefix  = "/queue/"
	metricsPort = "7735"
	// targetMilliCPU and targetMemoryMB are the capacity of each target.
	targetMilliCPU = 32000
	targetMemoryMB = 128000
	// heartbeat is the interval at which targets write their entry.
	heartbeat = 1500 * time.Millisecond
	// homeCPUShare and frontCPUShare are the processor shares of the machines,
	// in cores; the instance with the largest one becomes the home.
	homeCPUShare  = 0.8
	frontCPUShare = 0.2
	// machineMemoryMB is the memory of each machine.
	machineMemoryMB = 184
	// startTimeout bounds the time until all instances are ready, stopTimeout
	// that until they have ended.
	startTimeout = 15 * time.Second
	stopTimeout  = 8 * time.Second
)

// zone is an availability zone of real instances and stand-ins.
type zone struct {
	store   *rattansite.Store
	checker *rattansite.InvariantChecker
	targets []*rattansite.Target
	// instances contains the home first, then the fronts.
	instances []*instance
}

// instance is the process of one instance.
type instance struct {
	ip      string
	command *exec.Cmd
	ended   chan error
}

// startZone starts the stand-ins and the instances, and waits until all are
// ready. The home writes its CPU profile to a file when it ends.
func startZone(ctx context.Context, options Options, rate float64, directory, profile string) (*zone, error) {
	store, err := rattansite.NewStore()
	if err != nil {
		return nil, errors.Trace(err)
	}
	z := &zone{store: store, checker: rattansite.NewInvariantChecker()}
	if err := z.start(options, rate, directory, profile); err != nil {
		z.close()
		return nil, err
	}
	for _, i := range z.instances {
		if err := i.waitReady(ctx); err != nil {
			z.close()
			return nil, err
		}
	}
	return z, nil
}

func (z *zone) start(options Options, rate float64, directory, profile string) error {
	state := rattansite.DesiredState{Version: 1, Service: serviceName, Host: hostName, Prefixes: []string{pathPrefix}}
	if err := z.store.PutDesiredState(state); err != nil {
		return errors.Trace(err)
	}
	for i := range options.Targets {
		target, err := rattansite.NewTarget(rattansite.TargetConfig{
			ID: fmt.Sprintf("i-%d", i), Service: serviceName, Zone: zoneName, Labels: []string{"a", fmt.Sprintf("r-%d", i/8)},
			MilliCPU: targetMilliCPU, MemoryMB: targetMemoryMB, Store: z.store, Checker: z.checker, Heartbeat: heartbeat,
		})
		if err != nil {
			return errors.Trace(err)
		}
		z.targets = append(z.targets, target)
	}
	for i := range 1 + options.Fronts {
		settings := rattansite.InstanceSettings{
			Name: fmt.Sprintf("front-%d", i), IP: fmt.Sprintf("127.9.%d.%d", os.Getpid()%250, 10+i), Zone: zoneName,
			StoreAddress: z.store.Address(), CPUShare: frontCPUShare, MemoryMB: machineMemoryMB,
		}
		arguments := []string{"serve"}
		if i == 0 {
			settings.CPUShare = homeCPUShare
			arguments = append(arguments, "--cpu-profile", profile)
		} else {
			settings.SeedIPs = []string{z.instances[0].ip}
		}
		log := ""
		if options.Logs != "" {
			log = filepath.Join(options.Logs, fmt.Sprintf("%s-%.0f.log", settings.Name, rate))
		}
		started, err := startInstance(options.Binary, settings, filepath.Join(directory, settings.Name+".json"), log, arguments)
		if err != nil {
			return err
		}
		z.instances = append(z.instances, started)
	}
	return nil
}

// startInstance starts a process with one processor, as the machines of the
// platform have. Its log goes to a file, unless the name is empty.
func startInstance(binary string, settings rattansite.InstanceSettings, path, log string, arguments []string) (*instance, error) {
	data, err := settings.File()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	command := exec.Command(binary, arguments...)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path, "GOMAXPROCS=1")
	command.Stderr = os.Stderr
	if log != "" {
		output, err := os.Create(log)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = output.Close() }()
		command.Stdout = output
	}
	if err := command.Start(); err != nil {
		return nil, errors.Annotate(err, binary)
	}
	started := &instance{ip: settings.IP, command: command, ended: make(chan error, 1)}
	go func() { started.ended <- command.Wait() }()
	return started, nil
}

func (i *instance) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		response, err := http.Get("http://" + i.ip + ":" + rattansite.ReadinessPort + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("instance at %s is not ready after %s", i.ip, startTimeout)
}

// stop ends all processes, the home last, so that it writes its profile.
func (z *zone) stop() error {
	for index := len(z.instances) - 1; index >= 0; index-- {
		if err := z.instances[index].stop(); err != nil {
			return err
		}
	}
	z.instances = nil
	return nil
}

func (i *instance) stop() error {
	_ = i.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-i.ended:
		return errors.Annotatef(err, "instance at %s", i.ip)
	case <-time.After(stopTimeout):
		return errors.Errorf("instance at %s has not ended after %s", i.ip, stopTimeout)
	}
}

// close ends what is still running.
func (z *zone) close() {
	for _, i := range z.instances {
		_ = i.command.Process.Kill()
	}
	for _, target := range z.targets {
		target.Close()
	}
	z.store.Close()
}

// zoneUsage is the processor time of the processes since their start, and the
// peak memory of the home.
type zoneUsage struct {
	home       time.Duration
	fronts     time.Duration
	homePeakMB float64
}

func (z *zone) usage(ctx context.Context) (zoneUsage, error) {
	var usage zoneUsage
	for index, i := range z.instances {
		values, err := i.metrics(ctx)
		if err != nil {
			return usage, err
		}
		processorTime := time.Duration(values["process_cpu_seconds_total"] * float64(time.Second))
		if index > 0 {
			usage.fronts += processorTime
			continue
		}
		usage.home = processorTime
		usage.homePeakMB = values["process_resident_memory_peak_bytes"] / (1 << 20)
	}
	return usage, nil
}

// metrics returns the metrics without labels of an instance.
func (i *instance) metrics(ctx context.Context) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ip+":"+metricsPort+"/metrics", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "metrics of %s", i.ip)
	}
	defer func() { _ = response.Body.Close() }()
	values := map[string]float64{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, errors.Trace(scanner.Err())
}
