package rattandemo

import (
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// resolution is the longest time from the death of the home to the final
// answer of one of its jobs.
type resolution struct {
	killedAt atomic.Int64
	home     atomic.Pointer[rattanjob.Incarnation]
	longest  atomic.Int64
}

func (r *resolution) observe(key rattanjob.Key, asked, received time.Time) {
	home := r.home.Load()
	if home == nil || *home != key.Epoch.Home {
		return
	}
	from := max(asked.UnixNano(), r.killedAt.Load())
	took := received.UnixNano() - from
	for {
		longest := r.longest.Load()
		if took <= longest || r.longest.CompareAndSwap(longest, took) {
			return
		}
	}
}
