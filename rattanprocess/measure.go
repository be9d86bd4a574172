package rattanprocess

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// sampleInterval is the interval at which open descriptors are counted.
	sampleInterval = 20 * time.Millisecond
	// memoryInterval is the interval at which the queues of sockets are added up. The
	// kernel's table is long while there are many connections.
	memoryInterval = 50 * time.Millisecond
)

// PeakResidentMB returns the highest resident memory of the process since its start.
func (i *Instance) PeakResidentMB() (int, error) {
	pid := i.process().Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kilobytes >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", pid)
}

// MemoryPeaks are the highest values of the memory of an instance's processes, in
// megabytes.
type MemoryPeaks struct {
	Resident int
	// Queued is what was in the queues of the instance's connections: received and not
	// yet read, or sent and not yet received.
	Queued int
}

// MemoryMeter records the memory of an instance, also over restarts of its process.
type MemoryMeter struct {
	instance *Instance
	resident int
	queued   int64
	stop     chan struct{}
	// done receives the error that ended the meter, nil if there was none.
	done chan error
}

// StartMemoryMeter starts a meter for the present process and all later ones.
func (i *Instance) StartMemoryMeter() *MemoryMeter {
	meter := &MemoryMeter{instance: i, stop: make(chan struct{}), done: make(chan error, 1)}
	go func() { meter.done <- meter.run() }()
	return meter
}

func (m *MemoryMeter) run() error {
	for {
		queued, err := queuedBytes(m.instance.IP)
		if err != nil {
			return errors.Annotatef(err, "connections of %s", m.instance.Name)
		}
		m.queued = max(m.queued, queued)
		// A process that has just ended has no memory.
		if resident, err := m.instance.PeakResidentMB(); err == nil {
			m.resident = max(m.resident, resident)
		}
		select {
		case <-m.stop:
			return nil
		case <-time.After(memoryInterval):
		}
	}
}

// End stops the meter and returns the highest values, rounded up.
func (m *MemoryMeter) End() (MemoryPeaks, error) {
	close(m.stop)
	err := <-m.done
	return MemoryPeaks{Resident: m.resident, Queued: int((m.queued + 1<<20 - 1) >> 20)}, err
}

// DescriptorMeter records the highest number of open descriptors of an instance, also
// over restarts of its process.
type DescriptorMeter struct {
	peak atomic.Int64
	stop chan struct{}
	done chan struct{}
}

// StartDescriptorMeter starts a meter for the present process and all later ones.
func (i *Instance) StartDescriptorMeter() *DescriptorMeter {
	meter := &DescriptorMeter{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(meter.done)
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.process().Pid)); err == nil {
				meter.peak.Store(max(meter.peak.Load(), int64(len(entries))))
			}
			select {
			case <-meter.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return meter
}

// End stops the meter and returns the highest number.
func (m *DescriptorMeter) End() int {
	close(m.stop)
	<-m.done
	return int(m.peak.Load())
}
