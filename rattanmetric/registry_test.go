package rattanmetric

import (
	"bytes"
	"flag"
	"os"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const pagePath = "../docs/metrics.md"

var update = flag.Bool("update", false, "write the generated page")

// TestPage guards against a page that no longer describes the metrics.
func TestPage(t *testing.T) {
	c := qt.New(t)
	if *update {
		c.Assert(os.WriteFile(pagePath, []byte(Page()), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(pagePath)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, Page(), qt.Commentf("run go test ./rattanmetric -update"))
}

// TestTable guards against names without a unit, against two rows for a name,
// and against a metric without a description.
func TestTable(t *testing.T) {
	c := qt.New(t)
	units := map[Kind]*regexp.Regexp{
		KindCounter:   regexp.MustCompile(`^rattanlever_[a-z_]+_total$`),
		KindGauge:     regexp.MustCompile(`^rattanlever_[a-z_]+_(seconds|bytes|slots|records|revision|ejected|alive|in_progress)$`),
		KindHistogram: regexp.MustCompile(`^rattanlever_[a-z_]+_(seconds|bytes)$`),
	}
	var names []string
	for _, row := range table {
		c.Check(units[row.Kind].MatchString(row.Name), qt.IsTrue, qt.Commentf(row.Name))
		c.Check(row.Description, qt.Not(qt.Equals), "", qt.Commentf(row.Name))
		names = append(names, row.Name)
	}
	slices.Sort(names)
	c.Assert(slices.Compact(slices.Clone(names)), qt.DeepEquals, names)
}

// TestRegistry guards against instances in one process that share counters,
// and against labels that break the text format.
func TestRegistry(t *testing.T) {
	c := qt.New(t)
	first, second := New(), New()
	refused := WithLabels(JobsRefusedTotal, "reason", "a\"b\n")
	first.Counter(refused).Add(3)
	first.Counter(refused).Inc()
	first.Gauge(PoolSlots, func() float64 { return 8 })
	first.Histogram(JobResponseSeconds).Update(0.25)
	second.Counter(refused).Inc()
	c.Assert(text(first), qt.Matches, `(?s)rattanlever_job_response_seconds_bucket\{vmrange="[^"]+"\} 1
rattanlever_job_response_seconds_sum 0\.25
rattanlever_job_response_seconds_count 1
rattanlever_jobs_refused_total\{reason="a\\"b\\n"\} 4
rattanlever_pool_slots 8
`)
	c.Assert(text(second), qt.Contains, "} 1\n")
	first.Close()
	c.Assert(text(first), qt.Equals, "")
	var process bytes.Buffer
	WriteProcess(&process)
	c.Assert(process.String(), qt.Contains, "process_cpu_seconds_total")
}

// TestUndocumented guards against a metric that the page does not list.
func TestUndocumented(t *testing.T) {
	c := qt.New(t)
	registry := New()
	registry.Counter(KeysIssuedTotal)
	registry.Counter(WithLabels(JobsRefusedTotal, "reason", "Overloaded"))
	c.Assert(registry.Undocumented(), qt.HasLen, 0)
	registry.Counter(JobsRefusedTotal)
	registry.Counter(WithLabels(JobsAnsweredTotal, "status", "Failed"))
	registry.Counter("surprises_total")
	c.Assert(registry.Undocumented(), qt.DeepEquals, []string{
		`rattanlever_jobs_answered_total{status="Failed"}`, "rattanlever_jobs_refused_total", "surprises_total",
	})
}

func text(registry *Registry) string {
	var buffer bytes.Buffer
	registry.Write(&buffer)
	return buffer.String()
}

// BenchmarkStart measures the metrics of one task: two counters and two
// histograms.
func BenchmarkStart(b *testing.B) {
	registry := New()
	started, ended := registry.Counter(TasksStartedTotal), registry.Counter(WithLabels(TasksEndedTotal, "outcome", "Done"))
	waited, ran := registry.Histogram(WithLabels(TaskWaitSeconds, "kind", "list")), registry.Histogram(WithLabels(JobResponseSeconds, "kind", "list"))
	b.ReportAllocs()
	for b.Loop() {
		started.Inc()
		waited.Update(0.004)
		ran.Update(0.25)
		ended.Inc()
	}
}
