package peercontact

import "github.com/prometheus/client_golang/prometheus"

// Collector exports a Record as metrics. Ages are in seconds, and absent for what has not happened.
type Collector struct {
	record *Record

	received, delivered, connections, connectionAge, failures *prometheus.Desc
}

// NewCollector returns a Collector whose metrics have the given prefix.
func NewCollector(record *Record, prefix string) *Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+name, help, append([]string{"peer"}, labels...), nil)
	}
	return &Collector{
		record:        record,
		received:      describe("peer_received_age_seconds", "Time since the last message from a peer."),
		delivered:     describe("peer_delivered_age_seconds", "Time since a peer last confirmed messages to it."),
		connections:   describe("peer_connections", "Open connections to a peer."),
		connectionAge: describe("peer_connection_age_seconds", "Age of the newest open connection to a peer."),
		failures:      describe("peer_failures_total", "Failures of connecting to a peer, or of delivering messages to it, by cause.", "operation", "cause"),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.received, c.delivered, c.connections, c.connectionAge, c.failures} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	for _, peer := range c.record.Peers() {
		gauge := func(description *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, peer.Address)
		}
		if peer.ReceivedAge != Never {
			gauge(c.received, peer.ReceivedAge.Seconds())
		}
		if peer.DeliveredAge != Never {
			gauge(c.delivered, peer.DeliveredAge.Seconds())
		}
		if peer.ConnectionAge != Never {
			gauge(c.connectionAge, peer.ConnectionAge.Seconds())
		}
		gauge(c.connections, float64(peer.Connections))
		for _, failure := range peer.Failures {
			metrics <- prometheus.MustNewConstMetric(c.failures, prometheus.CounterValue, float64(failure.Count),
				peer.Address, string(failure.Operation), string(failure.Cause))
		}
	}
}
