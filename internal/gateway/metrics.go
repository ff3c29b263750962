package gateway

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// gatewayMetrics are the metrics of one gateway.
type gatewayMetrics struct {
	answers         *prometheus.CounterVec
	inFlight        prometheus.Gauge
	waiting         prometheus.Gauge
	resumes         prometheus.Counter
	eventsDropped   prometheus.Counter
	foreignAnswers  prometheus.Counter
	connectionsKept prometheus.Counter
	kvTransfers     *prometheus.CounterVec
	syncFailures    prometheus.Counter
	reportFailures  prometheus.Counter
	revision        prometheus.Gauge
	urgentReports   prometheus.Counter
	// permits counts permit requests for back ends that set limits, by outcome.
	permits *prometheus.CounterVec
	// replicaCrashes counts back ends that crashed while they ran requests of this gateway;
	// guardCallsFailed counts failed calls to the leader about crashes.
	replicaCrashes   prometheus.Counter
	guardCallsFailed prometheus.Counter
}

func newGatewayMetrics(factory metrics.Factory) *gatewayMetrics {
	return &gatewayMetrics{
		answers:          factory.CounterVec("answers_total", "Answers to callers.", "status", "verdict"),
		inFlight:         factory.Gauge("requests_in_flight", "Requests started and not yet answered to their end."),
		waiting:          factory.Gauge("requests_waiting", "Requests that wait for their turn."),
		resumes:          factory.Counter("stream_resumes_total", "Streams resumed at their engine after a cut link."),
		eventsDropped:    factory.Counter("events_dropped_total", "Events dropped because they repeated what was delivered."),
		foreignAnswers:   factory.Counter("foreign_answers_total", "Answers and events dropped because they belonged to another exchange."),
		connectionsKept:  factory.Counter("connections_kept_total", "Connections to engines kept after a whole stream."),
		kvTransfers:      factory.CounterVec("hand_overs_total", "Prompts to be read by one engine and answered by another, by how that ended.", "outcome"),
		syncFailures:     factory.Counter("sync_failures_total", "Heartbeats that no controller answered."),
		reportFailures:   factory.Counter("report_failures_total", "Demand reports that no leader took."),
		revision:         factory.Gauge("revision", "Revision of the configuration in force here."),
		urgentReports:    factory.Counter("urgent_reports_total", "Reports sent early because requests waited for a share of their tenant's limit."),
		permits:          factory.CounterVec("permits_total", "Questions whether a request may be sent to a back end that names a limit for all gateways together.", "outcome"),
		replicaCrashes:   factory.Counter("back_ends_ended_total", "Back ends that ended while they ran requests of this gateway."),
		guardCallsFailed: factory.Counter("guard_calls_failed_total", "Calls to the leader on ended back ends and held requests that failed."),
	}
}

// answer counts one answer to a caller by status and verdict.
func (m *gatewayMetrics) answer(status int, runVerdict verdict.Verdict) {
	m.answers.WithLabelValues(strconv.Itoa(status), runVerdict.String()).Inc()
}

// revisionListener returns a callback that records each applied revision and passes it to the listener, if any.
func (m *gatewayMetrics) revisionListener(listener func(revision uint64)) func(revision uint64) {
	return func(revision uint64) {
		m.revision.Set(float64(revision))
		if listener != nil {
			listener(revision)
		}
	}
}
