package rattanbench

import (
	"context"
	"time"
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

// measureLateness returns a function that ends the measurement.
func measureLateness() func() lateness {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan lateness, 1)
	go func() {
		done <- watchTimer(ctx)
	}()
	return func() lateness {
		cancel()
		return <-done
	}
}

func watchTimer(ctx context.Context) lateness {
	const interval = 5 * time.Millisecond
	var late []time.Duration
	var longest time.Duration
	for due := time.Now().Add(interval); ctx.Err() == nil; due = time.Now().Add(interval) {
		time.Sleep(time.Until(due))
		late = append(late, time.Since(due))
		longest = max(longest, late[len(late)-1])
	}
	return lateness{p99: durationQuantile(late, 99), longest: longest}
}

// worst returns the higher values of both.
func (l lateness) worst(other lateness) lateness {
	return lateness{p99: max(l.p99, other.p99), longest: max(l.longest, other.longest)}
}
