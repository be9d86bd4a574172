// Package rattanmetric holds the metrics of one instance: counters, gauges and
// histograms whose names carry their units, in the Prometheus text format.
package rattanmetric

import (
	"io"

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

// Counter returns the counter with the name and labels, such as
// refusals_total{reason="Overloaded"}, and creates it at first use. It panics
// on a malformed name.
func (r *Registry) Counter(name string) *metrics.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a function that returns the present value; it is called at
// each Write and must be safe for concurrent use. It panics on a malformed
// name.
func (r *Registry) Gauge(name string, value func() float64) {
	r.set.GetOrCreateGauge(name, value)
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
