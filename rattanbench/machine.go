package rattanbench

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// timerDelay is the delay with which timers of this process fire while
// experiments run. It limits the accuracy of all times measured in the same
// batch, since a stall of the machine delays every system alike.
type timerDelay struct {
	p99, max time.Duration
}

// Timer delays up to which response times are considered accurate. The tightest
// target for a response time is 10 ms, for refusals.
const (
	maxQuietP99   = 5 * time.Millisecond
	maxQuietDelay = 50 * time.Millisecond
)

// busy reports whether the machine was too busy for accurate response times.
func (d timerDelay) busy() bool {
	return d.p99 > maxQuietP99 || d.max > maxQuietDelay
}

// machineConditions describes the limits of the machine during a batch.
type machineConditions struct {
	timerDelay timerDelay
	// outOfFiles is true if the limit of open files was reached. Connections then
	// wait, so the measurements do not reflect the system.
	outOfFiles bool
}

// monitorMachine starts to monitor the machine. The returned function stops the
// monitor and returns the conditions that it found.
func monitorMachine() func() machineConditions {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan machineConditions, 1)
	go func() {
		done <- monitor(ctx)
	}()
	return func() machineConditions {
		cancel()
		return <-done
	}
}

// monitor measures timer delays and checks the limit of open files until ctx ends.
func monitor(ctx context.Context) machineConditions {
	const interval = 5 * time.Millisecond
	var conditions machineConditions
	var delays []time.Duration
	for due := time.Now().Add(interval); ctx.Err() == nil; due = time.Now().Add(interval) {
		time.Sleep(time.Until(due))
		delays = append(delays, time.Since(due))
		conditions.timerDelay.max = max(conditions.timerDelay.max, delays[len(delays)-1])
		conditions.outOfFiles = conditions.outOfFiles || !canOpenFile()
	}
	conditions.timerDelay.p99 = durationQuantile(delays, 99)
	return conditions
}

// canOpenFile reports whether the process is below its limit of open files.
func canOpenFile() bool {
	file, err := os.Open(os.DevNull)
	if err != nil {
		return !errors.Is(err, syscall.EMFILE)
	}
	return file.Close() == nil
}

// merge returns the larger values of both delays.
func (d timerDelay) merge(other timerDelay) timerDelay {
	return timerDelay{p99: max(d.p99, other.p99), max: max(d.max, other.max)}
}
