package rattanstandin

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// usageHistory holds two samples of the usage, so that a report can lag.
type usageHistory struct {
	older, newer     rattantarget.Usage
	olderAt, newerAt time.Time
}

// noteUsage takes a sample if the last one is older than the lag. It runs
// before each change, so that no sampling timer is needed.
func (t *Target) noteUsage(now time.Time) {
	if now.Sub(t.usage.newerAt) < t.options.UsageLag.Std() {
		return
	}
	t.usage.older, t.usage.olderAt = t.usage.newer, t.usage.newerAt
	t.usage.newer, t.usage.newerAt = t.usageLocked(), now
	if t.usage.olderAt.IsZero() {
		t.usage.older, t.usage.olderAt = rattantarget.Usage{Slots: t.options.Slots}, t.startedAt
	}
}

// report returns the usage as it was about one lag ago.
func (t *Target) report(now time.Time) rattantarget.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteUsage(now)
	report := t.usage.older
	report.Age = rattanjson.Duration(now.Sub(t.usage.olderAt))
	return report
}
