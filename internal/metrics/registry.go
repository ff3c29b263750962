package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// namespace is the prefix of every metric name of the project.
const namespace = "hazelpitch"

// NewRegistry returns a registry with the collectors of the process and the Go
// runtime (CPU seconds, resident memory, goroutines), and a factory whose metrics are
// labelled with the identity of the process.
func NewRegistry(role, name, zone string) (*prometheus.Registry, Factory) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	labels := prometheus.Labels{"role": role, "name": name, "zone": zone}
	return registry, Factory{registerer: prometheus.WrapRegistererWith(labels, registry), subsystem: role}
}

// Factory creates and registers metrics named hazelpitch_ROLE_NAME. It panics when a name is
// used twice, which is a programming error.
type Factory struct {
	registerer prometheus.Registerer
	subsystem  string
}

// Register registers a collector whose metrics get the prefix of this factory.
func (f Factory) Register(create func(prefix string) prometheus.Collector) {
	f.registerer.MustRegister(create(namespace + "_" + f.subsystem + "_"))
}

// Counter returns a new counter; its name must end in _total.
func (f Factory) Counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help})
	f.registerer.MustRegister(counter)
	return counter
}

// CounterVec returns a new family of counters with labels; its name must end in _total.
func (f Factory) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	family := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, labels)
	f.registerer.MustRegister(family)
	return family
}

// Gauge returns a new gauge.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help})
	f.registerer.MustRegister(gauge)
	return gauge
}

// GaugeFunc registers a gauge that calls read at each scrape.
func (f Factory) GaugeFunc(name, help string, read func() float64) {
	f.registerer.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, read))
}

// CertificateExpiry registers the gauge with the expiry time of a process's certificate, in
// seconds since the Unix epoch. It calls expires at each scrape.
func (f Factory) CertificateExpiry(expires func() time.Time) {
	f.GaugeFunc("certificate_expires_timestamp_seconds", "When this process's certificate expires, in seconds since the Unix epoch.",
		func() float64 { return float64(expires().Unix()) })
}

// GaugeVec returns a new family of gauges with labels.
func (f Factory) GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	family := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help}, labels)
	f.registerer.MustRegister(family)
	return family
}

// Histogram returns a new histogram of seconds, with buckets from 0.1 ms to about 50 s.
func (f Factory) Histogram(name, help string) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: f.subsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 20),
	})
	f.registerer.MustRegister(histogram)
	return histogram
}
