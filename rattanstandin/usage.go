package rattanstandin

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// usageSamples holds the last two samples of the usage. Reports return the older
// one, so that they lag behind.
type usageSamples struct {
	older, newer     rattantarget.Usage
	olderAt, newerAt time.Time
}

// sampleUsage takes a sample if UsageLag has passed since the last one. It is
// called before each change, so no sampling timer is needed.
func (t *Target) sampleUsage(now time.Time) {
	if now.Sub(t.usageSamples.newerAt) < t.options.UsageLag.Std() {
		return
	}
	t.usageSamples.older, t.usageSamples.olderAt = t.usageSamples.newer, t.usageSamples.newerAt
	t.usageSamples.newer, t.usageSamples.newerAt = t.currentUsage(), now
	if t.usageSamples.olderAt.IsZero() {
		t.usageSamples.older, t.usageSamples.olderAt = rattantarget.Usage{Slots: t.options.Slots}, t.startedAt
	}
}

// delayedUsage returns the usage as it was about UsageLag ago.
func (t *Target) delayedUsage(now time.Time) rattantarget.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampleUsage(now)
	usage := t.usageSamples.older
	usage.Age = rattanjson.Duration(now.Sub(t.usageSamples.olderAt))
	return usage
}
