// Package rattanmetric holds the metrics of one instance: counters, gauges and
// histograms whose names carry their units, in the Prometheus text format.
package rattanmetric

import (
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Registry holds the metrics of one instance, so that several instances can
// live in one process. It is safe for concurrent use.
type Registry struct {
	set *metrics.Set
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{set: metrics.NewSet()}
}

// Counter returns the counter with the name and labels, and creates it at
// first use. Keep the counter where it is used often: finding it takes a lock.
// It panics on a malformed name.
func (r *Registry) Counter(name string) *metrics.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a function that returns the present value, unless the name
// has one; it is called at each Write and must be safe for concurrent use. It
// panics on a malformed name.
func (r *Registry) Gauge(name string, value func() float64) {
	r.set.GetOrCreateGauge(name, value)
}

// CounterFunc registers a function that returns the present value of a counter
// that is kept elsewhere; see Gauge.
func (r *Registry) CounterFunc(name string, value func() uint64) {
	r.Gauge(name, func() float64 { return float64(value()) })
}

// Histogram returns the histogram with the name and labels, and creates it at
// first use. It panics on a malformed name.
func (r *Registry) Histogram(name string) *metrics.Histogram {
	return r.set.GetOrCreateHistogram(name)
}

// Write writes all metrics in the Prometheus text format, sorted by name.
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
}

// Undocumented returns the names of metrics in use that the table does not
// have, or has with other labels.
func (r *Registry) Undocumented() []string {
	var names []string
	for _, name := range r.set.ListMetricNames() {
		if !documented(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Close removes all metrics and frees what they hold.
func (r *Registry) Close() {
	r.set.UnregisterAllMetrics()
}

// WithLabels returns the name with labels, given as names and values in turn, such as
// With(JobsRefusedTotal, "reason", "Overloaded").
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
// memory, which all instances in the process share.
func WriteProcess(w io.Writer) {
	metrics.WriteProcessMetrics(w)
}

func documented(name string) bool {
	base, labels, _ := strings.Cut(name, "{")
	for _, row := range slices.Concat(table, serveTable) {
		if row.Name == base {
			return slices.EqualFunc(row.Labels, splitLabels(labels), func(label, pair string) bool {
				return strings.HasPrefix(pair, label+"=")
			})
		}
	}
	return false
}

func splitLabels(labels string) []string {
	labels = strings.TrimSuffix(labels, "}")
	if labels == "" {
		return nil
	}
	return strings.Split(labels, ",")
}
