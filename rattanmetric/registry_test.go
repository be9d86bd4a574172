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

var update = flag.Bool("update", false, "write the generated documentation page")

// TestPage guards against a documentation page that differs from the metric
// definitions.
func TestPage(t *testing.T) {
	c := qt.New(t)
	if *update {
		c.Assert(os.WriteFile(pagePath, []byte(Page()), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(pagePath)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, Page(), qt.Commentf("run go test ./rattanmetric -update"))
}

// TestDefinitions guards against metric names without a unit, duplicate
// definitions and missing descriptions.
func TestDefinitions(t *testing.T) {
	c := qt.New(t)
	namePatterns := map[Kind]*regexp.Regexp{
		KindCounter:   regexp.MustCompile(`^rattanlever_[a-z_]+_total$`),
		KindGauge:     regexp.MustCompile(`^rattanlever_[a-z_]+_(seconds|bytes|slots|records|revision|ejected|alive|in_progress)$`),
		KindHistogram: regexp.MustCompile(`^rattanlever_[a-z_]+_(seconds|bytes)$`),
	}
	var names []string
	for _, definition := range instanceMetrics {
		c.Check(namePatterns[definition.Kind].MatchString(definition.Name), qt.IsTrue, qt.Commentf(definition.Name))
		c.Check(definition.Description, qt.Not(qt.Equals), "", qt.Commentf(definition.Name))
		names = append(names, definition.Name)
	}
	slices.Sort(names)
	c.Assert(slices.Compact(slices.Clone(names)), qt.DeepEquals, names)
}

// TestRegistry guards against counters that instances in one process share, and
// against label values that break the text format.
func TestRegistry(t *testing.T) {
	c := qt.New(t)
	first, second := New(), New()
	name := WithLabels(JobsRefusedTotal, "reason", "a\"b\n")
	first.Counter(name).Add(3)
	first.Counter(name).Inc()
	first.Gauge(PoolSlots, func() float64 { return 8 })
	first.Histogram(JobResponseSeconds).Update(0.25)
	second.Counter(name).Inc()
	c.Assert(exposition(first), qt.Matches, `(?s)rattanlever_job_response_seconds_bucket\{vmrange="[^"]+"\} 1
rattanlever_job_response_seconds_sum 0\.25
rattanlever_job_response_seconds_count 1
rattanlever_jobs_refused_total\{reason="a\\"b\\n"\} 4
rattanlever_pool_slots 8
`)
	c.Assert(exposition(second), qt.Contains, "} 1\n")
	first.Close()
	c.Assert(exposition(first), qt.Equals, "")
	var process bytes.Buffer
	WriteProcess(&process)
	c.Assert(process.String(), qt.Contains, "process_cpu_seconds_total")
}

// TestUndocumented guards against a registered metric that is not reported
// although it has no definition or other labels than in its definition.
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

// exposition returns the metrics of the registry in the Prometheus text format.
func exposition(registry *Registry) string {
	var buffer bytes.Buffer
	registry.Write(&buffer)
	return buffer.String()
}

// BenchmarkTaskMetrics measures the update of the metrics of one task: two
// counters and two histograms.
func BenchmarkTaskMetrics(b *testing.B) {
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
