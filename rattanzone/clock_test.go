package rattanzone

import (
	"sync/atomic"
	"time"
)

// fakeClock is a clock that tests advance. It is safe for concurrent use.
type fakeClock struct{ elapsed atomic.Int64 }

func (f *fakeClock) now() time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(f.elapsed.Load()))
}

func (f *fakeClock) pass(duration time.Duration) { f.elapsed.Add(int64(duration)) }
