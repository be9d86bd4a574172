// Package rattanmetric holds the metrics of one instance: counters, gauges and
// histograms in the Prometheus text format.
package rattanmetric

import (
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Registry holds the metrics of one instance. Each instance has its own
// registry, because several instances can run in one process. It is safe for
// concurrent use.
type Registry struct {
	set *metrics.Set
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{set: metrics.NewSet()}
}

// Counter returns the counter with the name and labels, and creates it on first
// use. Frequent users should keep the counter, because the lookup takes a lock.
// It panics if the name is malformed.
func (r *Registry) Counter(name string) *metrics.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a function that returns the current value, unless one is
// registered under the name. The function is called on each Write and must be
// safe for concurrent use. Gauge panics if the name is malformed.
func (r *Registry) Gauge(name string, value func() float64) {
	r.set.GetOrCreateGauge(name, value)
}

// CounterFunc registers a function that returns the current value of a counter
// that is maintained outside the registry. See Gauge for its requirements.
func (r *Registry) CounterFunc(name string, value func() uint64) {
	r.Gauge(name, func() float64 { return float64(value()) })
}

// Histogram returns the histogram with the name and labels, and creates it on
// first use. It panics if the name is malformed.
func (r *Registry) Histogram(name string) *metrics.Histogram {
	return r.set.GetOrCreateHistogram(name)
}

// Write writes all metrics in the Prometheus text format, sorted by name.
func (r *Registry) Write(output io.Writer) {
	r.set.WritePrometheus(output)
}

// Undocumented returns the registered metrics whose definitions are missing or
// have different labels.
func (r *Registry) Undocumented() []string {
	var names []string
	for _, name := range r.set.ListMetricNames() {
		if !isDocumented(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Close unregisters all metrics and releases their memory.
func (r *Registry) Close() {
	r.set.UnregisterAllMetrics()
}

// WithLabels returns the metric name with labels, which are given as
// alternating names and values, such as WithLabels(JobsRefusedTotal, "reason",
// "Overloaded").
func WithLabels(name string, labels ...string) string {
	var text strings.Builder
	text.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		text.WriteString(separator + labels[i] + "=" + strconv.Quote(labels[i+1]))
	}
	if len(labels) > 1 {
		text.WriteByte('}')
	}
	return text.String()
}

// WriteProcess writes the metrics of the process, such as its CPU time and
// memory. They cover all instances in the process.
func WriteProcess(output io.Writer) {
	metrics.WriteProcessMetrics(output)
}

// isDocumented reports whether a metric has a definition with the same labels.
func isDocumented(name string) bool {
	metric, labels, _ := strings.Cut(name, "{")
	for _, definition := range slices.Concat(instanceMetrics, serveMetrics) {
		if definition.Name == metric {
			return slices.EqualFunc(definition.Labels, splitLabels(labels), func(label, pair string) bool {
				return strings.HasPrefix(pair, label+"=")
			})
		}
	}
	return false
}

// splitLabels splits the text between the braces of a metric name into pairs of
// a label name and a value. Values must not contain commas.
func splitLabels(labels string) []string {
	labels = strings.TrimSuffix(labels, "}")
	if labels == "" {
		return nil
	}
	return strings.Split(labels, ",")
}
