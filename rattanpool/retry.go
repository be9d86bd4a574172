package rattanpool

import (
	"math"
	"time"
)

// retryWindow is the time constant over which starts count as recent.
const retryWindow = time.Second

// retryBudget limits retries to a share of recent starts, with a floor.
type retryBudget struct {
	share, floor    float64
	starts, retries float64 // decayed counts
	at              time.Duration
}

func (b *retryBudget) decay(now time.Duration) {
	if now <= b.at {
		return
	}
	factor := math.Exp(-float64(now-b.at) / float64(retryWindow))
	b.starts *= factor
	b.retries *= factor
	b.at = now
}

func (b *retryBudget) started() {
	b.starts++
}

func (b *retryBudget) limit() float64 {
	return max(b.floor, b.share*b.starts)
}

// take uses up one retry if the budget allows one now.
func (b *retryBudget) take(now time.Duration) bool {
	b.decay(now)
	if b.retries+1 > b.limit() {
		return false
	}
	b.retries++
	return true
}

// wait returns the time until a retry is allowed without further starts.
func (b *retryBudget) wait(now time.Duration) time.Duration {
	b.decay(now)
	if b.retries+1 <= b.limit() {
		return 0
	}
	room := max(b.floor-1, 0.1)
	return time.Duration(math.Log(b.retries/room)*float64(retryWindow)) + time.Millisecond
}
