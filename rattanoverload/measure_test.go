package rattanoverload

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

// peakResidentMB returns the highest resident memory of a process since its start.
func peakResidentMB(pid int) (int, error) {
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

// descriptorMeter records the highest number of open descriptors of a process.
type descriptorMeter struct {
	peak atomic.Int64
	stop chan struct{}
	done chan struct{}
}

func startDescriptorMeter(pid int) *descriptorMeter {
	meter := &descriptorMeter{stop: make(chan struct{}), done: make(chan struct{})}
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

// end stops the meter and returns the highest number.
func (m *descriptorMeter) end() int {
	close(m.stop)
	<-m.done
	return int(m.peak.Load())
}
