package rattannode

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanlimit"
	"github.com/rattanlever/rattanlever/rattanlog"
	"github.com/rattanlever/rattanlever/rattanmetric"
)

// TestLimitedCallersAreLoggedTogether guards against a log line for each request that
// is refused, and against requests that no line and no metric counts.
func TestLimitedCallersAreLoggedTogether(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	logger, err := rattanlog.New(&output, "info")
	c.Assert(err, qt.IsNil)
	now := time.Now()
	registry := rattanmetric.New()
	journal := newLimitJournal(&Config{Logger: logger, Registry: registry, Clock: func() time.Time { return now }})
	for range 100 {
		journal.CallerLimited(rattanlimit.BodyRefused)
	}
	c.Check(strings.Count(output.String(), "callers limited"), qt.Equals, 1)
	c.Check(output.String(), qt.Contains, `"BodyRefused":1`)
	now = now.Add(limitLogInterval)
	journal.CallerLimited(rattanlimit.BodyStalled)
	c.Check(strings.Count(output.String(), "callers limited"), qt.Equals, 2)
	c.Check(output.String(), qt.Contains, `"BodyRefused":99`)
	var page bytes.Buffer
	registry.Write(&page)
	c.Check(page.String(), qt.Contains, rattanmetric.CallersLimitedTotal+`{cause="BodyRefused"} 100`)
}
