package slots

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// Metrics are the metrics of the slots of one relay.
type Metrics struct {
	// requests counts this relay's requests for slots by their outcome.
	requests *prometheus.CounterVec
	// refusals counts the refusals that this relay has decided as owner, by reason.
	refusals *prometheus.CounterVec
	// queueTime is how long requests have waited in the queues of this relay.
	queueTime prometheus.Histogram
	// expiredLeases counts grants of this relay that have ended by the expiry of their lease.
	expiredLeases prometheus.Counter
}

// NewMetrics creates the metrics of the slots that current returns. They are read only after these exist.
func NewMetrics(factory metrics.Factory, current func() *Slots) *Metrics {
	factory.GaugeFunc("slots_queued", "Requests that wait for a slot in the queues of this relay.", func() float64 { return float64(current().granter.queuedCount()) })
	factory.GaugeFunc("slots_granted", "Slots in use that this relay knows of as owner or deputy.", func() float64 { return float64(current().granter.heldCount()) })
	return &Metrics{
		requests:      factory.CounterVec("slot_requests_total", "Requests of this relay for slots that relays share, by outcome.", "outcome"),
		refusals:      factory.CounterVec("slot_refusals_total", "Requests for slots that this relay has refused as the owner of the slots, by reason.", "reason"),
		queueTime:     factory.Histogram("slot_queue_seconds", "Time that requests have waited for a slot in the queues of this relay."),
		expiredLeases: factory.Counter("slot_leases_expired_total", "Slots that this relay has granted and whose lease has expired without a release."),
	}
}
