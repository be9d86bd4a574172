package rattanprocess

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// sampleInterval is the interval at which open descriptors are counted. The peak of
// the memory needs no samples, because the kernel records it.
const sampleInterval = 20 * time.Millisecond

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

// DescriptorMeter records the highest number of open descriptors of a process.
type DescriptorMeter struct {
	peak atomic.Int64
	stop chan struct{}
	done chan struct{}
}

// StartDescriptorMeter starts a meter for the process that runs.
func (i *Instance) StartDescriptorMeter() *DescriptorMeter {
	pid := i.process().Pid
	meter := &DescriptorMeter{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(meter.done)
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
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
