package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// namespace is the first word of every metric of the project.
const namespace = "hazelpitch"

// NewRegistry returns a registry with the collectors of the process and the Go
// runtime (CPU seconds, resident memory, goroutines), labelled with the identity
// of the process.
func NewRegistry(role, name, zone string) (*prometheus.Registry, Factory) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	labels := prometheus.Labels{"role": role, "name": name, "zone": zone}
	return registry, Factory{registerer: prometheus.WrapRegistererWith(labels, registry), subsystem: role}
}

// Factory makes metrics named hazelpitch_ROLE_NAME and registers them. A name used
// twice is a programming error and panics at start.
type Factory struct {
	registerer prometheus.Registerer
	subsystem  string
}

// Counter makes a counter; its name ends in _total.
func (f Factory) Counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help})
	f.registerer.MustRegister(counter)
	return counter
}

// CounterVec makes a family of counters with labels; its name ends in _total.
func (f Factory) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	family := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, labels)
	f.registerer.MustRegister(family)
	return family
}

// Gauge makes a gauge.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help})
	f.registerer.MustRegister(gauge)
	return gauge
}

// GaugeFunc makes a gauge that is read at each scrape.
func (f Factory) GaugeFunc(name, help string, read func() float64) {
	f.registerer.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, read))
}

// CertificateExpiry makes the gauge that tells when a process's certificate expires, in
// seconds since the Unix epoch. expires is called at each scrape.
func (f Factory) CertificateExpiry(expires func() time.Time) {
	f.GaugeFunc("certificate_expires_timestamp_seconds", "When this process's certificate expires, in seconds since the Unix epoch.",
		func() float64 { return float64(expires().Unix()) })
}

// GaugeVec makes a family of gauges with labels.
func (f Factory) GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	family := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, labels)
	f.registerer.MustRegister(family)
	return family
}

// Histogram makes a histogram of seconds, from 0.1 ms to about 50 s.
func (f Factory) Histogram(name, help string) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 20),
	})
	f.registerer.MustRegister(histogram)
	return histogram
}
