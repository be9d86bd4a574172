package rattandemo

import (
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// recoveryTime measures the longest time from the death of the home, or from the
// request if it was sent later, to the final answer to one of its jobs.
type recoveryTime struct {
	// killedAt is the Unix time of the kill in nanoseconds.
	killedAt   atomic.Int64
	killedHome atomic.Pointer[rattanjob.Incarnation]
	// longest is in nanoseconds.
	longest atomic.Int64
}

func (r *recoveryTime) record(key rattanjob.Key, sentAt, receivedAt time.Time) {
	home := r.killedHome.Load()
	if home == nil || *home != key.Epoch.Home {
		return
	}
	start := max(sentAt.UnixNano(), r.killedAt.Load())
	elapsed := receivedAt.UnixNano() - start
	for {
		longest := r.longest.Load()
		if elapsed <= longest || r.longest.CompareAndSwap(longest, elapsed) {
			return
		}
	}
}
