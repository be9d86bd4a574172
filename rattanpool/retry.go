package rattanpool

import (
	"math"
	"time"
)

// retryWindow is the time constant over which starts and retries count as
// recent.
const retryWindow = time.Second

// retryBudget limits retries to a ratio of recent starts, with a minimum rate.
type retryBudget struct {
	ratio, minPerSecond float64
	starts, retries     float64 // exponentially decaying counts
	updatedAt           time.Duration
}

func (b *retryBudget) decay(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-b.updatedAt) / float64(retryWindow))
	b.starts *= factor
	b.retries *= factor
	b.updatedAt = now
}

func (b *retryBudget) recordStart() {
	b.starts++
}

func (b *retryBudget) limit() float64 {
	return max(b.minPerSecond, b.ratio*b.starts)
}

// takeRetry consumes one retry if the budget allows it now.
func (b *retryBudget) takeRetry(now time.Duration) bool {
	b.decay(now)
	if b.retries+1 > b.limit() {
		return false
	}
	b.retries++
	return true
}

// timeToNext returns the time until a retry is allowed even if no further task
// starts.
func (b *retryBudget) timeToNext(now time.Duration) time.Duration {
	b.decay(now)
	if b.retries+1 <= b.limit() {
		return 0
	}
	headroom := max(b.minPerSecond-1, 0.1)
	return time.Duration(math.Log(b.retries/headroom)*float64(retryWindow)) + time.Millisecond
}
