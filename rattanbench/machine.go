package rattanbench

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// lateness measures how late timers of this process fire while experiments
// run. It bounds the accuracy of all times in the same batch: a stall of the
// machine delays every system alike.
type lateness struct {
	p99, longest time.Duration
}

// Bounds of a machine that is quiet enough for response times: the bound of a
// refusal is 10 ms.
const (
	quietP99     = 5 * time.Millisecond
	quietLongest = 50 * time.Millisecond
)

// busy reports whether the machine was too busy for response times to say
// much about the system.
func (l lateness) busy() bool {
	return l.p99 > quietP99 || l.longest > quietLongest
}

// machine is what limited the accuracy of a batch.
type machine struct {
	lateness lateness
	// outOfFiles says that no file could be opened at some time. Connections
	// then wait, and the figures say nothing about the system.
	outOfFiles bool
}

// watchMachine returns a function that ends the watch.
func watchMachine() func() machine {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan machine, 1)
	go func() {
		done <- watch(ctx)
	}()
	return func() machine {
		cancel()
		return <-done
	}
}

func watch(ctx context.Context) machine {
	const interval = 5 * time.Millisecond
	var seen machine
	var late []time.Duration
	for due := time.Now().Add(interval); ctx.Err() == nil; due = time.Now().Add(interval) {
		time.Sleep(time.Until(due))
		late = append(late, time.Since(due))
		seen.lateness.longest = max(seen.lateness.longest, late[len(late)-1])
		seen.outOfFiles = seen.outOfFiles || !canOpen()
	}
	seen.lateness.p99 = durationQuantile(late, 99)
	return seen
}

func canOpen() bool {
	file, err := os.Open(os.DevNull)
	if err != nil {
		return !errors.Is(err, syscall.EMFILE)
	}
	return file.Close() == nil
}

// worst returns the higher values of both.
func (l lateness) worst(other lateness) lateness {
	return lateness{p99: max(l.p99, other.p99), longest: max(l.longest, other.longest)}
}
