package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// role names the process in metrics.
const role = "relay"

// outcome is how a request ended for its client.
type outcome string

// Outcomes of requests.
const (
	// outcomeInTime answers met their route's targets; outcomeLate ones did not.
	outcomeInTime outcome = "in_time"
	outcomeLate   outcome = "late"
	// outcomeRefused requests were told by the relay that they have not run.
	outcomeRefused outcome = "refused"
	// outcomeFailed requests got another failure, a back end's or the relay's own.
	outcomeFailed outcome = "failed"
	// outcomeCut answers ended before they were whole, or their client had gone.
	outcomeCut outcome = "cut"
)

// outcomeOf tells how a request ended.
func outcomeOf(request *request, reply *replier, now time.Duration) outcome {
	switch {
	case reply.failed || reply.status == 0:
		return outcomeCut
	case reply.refused != nil && reply.refused.promisesNotRun():
		return outcomeRefused
	case reply.status >= 400:
		return outcomeFailed
	case request.trace.late(request, now):
		return outcomeLate
	default:
		return outcomeInTime
	}
}

// relayMetrics are the counts of one relay.
type relayMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	again    prometheus.Counter
	denied   prometheus.Counter
	// usageSentAgain counts reports of usage that had to be sent again.
	usageSentAgain prometheus.Counter
	// replicaEnds counts back ends that ended while they ran requests of this relay,
	// guardCallsFailed calls to the leader on them that failed.
	replicaEnds prometheus.Counter
	// limitedSendings counts sendings to back ends that had named a limit, permits questions for permits to send there by
	// what became of them.
	limitedSendings prometheus.Counter
	permits         *prometheus.CounterVec
	// rests counts the rests that back ends have asked of this relay.
	rests            prometheus.Counter
	guardCallsFailed prometheus.Counter
	waits            prometheus.Counter
	// startWaits counts requests that came before the relay knew what they need.
	startWaits prometheus.Counter
	moves      *prometheus.CounterVec
	// asked counts questions to owners of engines by what became of them, spills the requests
	// that were offered to a further cell.
	asked            *prometheus.CounterVec
	spills           prometheus.Counter
	datagramsDropped *prometheus.CounterVec
	first            prometheus.Histogram
	whole            prometheus.Histogram
	gaps             prometheus.Histogram
	queueing         prometheus.Histogram
}

// newRelayMetrics makes the metrics of a relay and its log.
func newRelayMetrics(relay *Relay, log *logring.Log) *relayMetrics {
	registry, factory := metrics.NewRegistry(role, relay.settings.Name, relay.settings.Zone)
	made := &relayMetrics{
		registry:         registry,
		requests:         factory.CounterVec("requests_total", "Requests with a route, by how they ended.", "kind", "outcome"),
		refusals:         factory.CounterVec("refusals_total", "Final answers of the relay's own, by reason.", "reason"),
		again:            factory.Counter("sendings_again_total", "Sendings of requests beyond the first."),
		denied:           factory.Counter("sendings_denied_total", "Sendings beyond the first that the retry budget did not allow."),
		usageSentAgain:   factory.Counter("usage_sendings_again_total", "Reports of tenants' usage that were not taken and had to be sent again."),
		rests:            factory.Counter("back_end_rests_total", "Rests that back ends have asked of this relay."),
		limitedSendings:  factory.Counter("limited_sendings_total", "Sendings to back ends that had named a limit for all relays together."),
		permits:          factory.CounterVec("permits_total", "Questions whether a request may be sent to a back end that names a limit for all relays together.", "outcome"),
		replicaEnds:      factory.Counter("back_ends_ended_total", "Back ends that ended while they ran requests of this relay."),
		guardCallsFailed: factory.Counter("guard_calls_failed_total", "Calls to the leader on ended back ends and held requests that failed."),
		waits:            factory.Counter("reading_waits_total", "Waits of prompts for the reading of parts that they share."),
		startWaits:       factory.Counter("start_waits_total", "Requests that waited for a configuration and a list, since they came right after the start."),
		moves:            factory.CounterVec("runs_moved_total", "Runs that stopped at one engine to go on at another, by whether they were copied.", "copied"),
		asked:            factory.CounterVec("placement_questions_total", "Decisions on engines, by who made them.", "outcome"),
		spills:           factory.Counter("placement_spills_total", "Offers of requests to a further cell of engines."),
		datagramsDropped: factory.CounterVec("datagrams_dropped_total", "Datagrams between relays that were not taken, by reason.", "reason"),
		first:            factory.Histogram("first_event_seconds", "Time from a request to the first event of its stream."),
		whole:            factory.Histogram("answer_seconds", "Time from a request to the end of its answer."),
		gaps:             factory.Histogram("gap_seconds", "Longest pause between events of a stream."),
		queueing:         factory.Histogram("reading_queue_seconds", "Time from a request until its prompt was sent to be read."),
	}
	factory.GaugeFunc("configuration_number", "Number of the configuration in force here; 0 before the first.", func() float64 {
		return float64(relay.belief().configuration)
	})
	factory.GaugeFunc("leader_age_seconds", "Time since the last word of a leader.", func() float64 {
		return relay.belief().leaderAge.Seconds()
	})
	factory.GaugeFunc("configuration_age_seconds", "Time since the configuration was put in force here.", func() float64 {
		return (relay.clock.now() - relay.view.Load().configuredAt).Seconds()
	})
	factory.GaugeFunc("listing_age_seconds", "Time since the list of back ends changed here.", func() float64 {
		return (relay.clock.now() - relay.view.Load().listedAt).Seconds()
	})
	factory.GaugeFunc("notice_age_seconds", "Time since the last word of another relay on its work.", func() float64 {
		return (relay.clock.now() - relay.notices.table.lastHeard()).Seconds()
	})
	factory.GaugeFunc("owned_engines", "Engines on which this relay decides for all relays, or stands in for the one that does.", func() float64 {
		return float64(len(relay.owners.ownedEngines()))
	})
	factory.GaugeFunc("retry_budget_left", "Sendings beyond the first that the service with fewest left allows.", func() float64 {
		return relay.budget.MinimumLeft(relay.clock.now())
	})
	factory.GaugeFunc("requests_held", "Requests that are kept away from back ends, since some have ended under them.", func() float64 {
		return float64(relay.guard.QuarantinedCount())
	})
	factory.GaugeFunc("usage_unreported", "Requests that began to run and that no leader has been told of yet.", func() float64 {
		return float64(relay.usage.UnreportedCount())
	})
	for _, state := range backEndStates {
		factory.GaugeFunc("back_ends_"+string(state), "Back ends of the list in this state.", func() float64 {
			return float64(relay.countBackEnds(state))
		})
	}
	factory.GaugeFunc("log_lines_dropped", "Lines of the log dropped since the start.", func() float64 {
		return float64(log.DroppedLines())
	})
	return made
}

// backEndState is how a back end stands with this relay.
type backEndState string

// States of back ends.
const (
	backEndReady    backEndState = "ready"
	backEndAvoided  backEndState = "avoided"
	backEndLeaving  backEndState = "leaving"
	backEndChanging backEndState = "changing"
	backEndResting  backEndState = "resting"
	backEndLimited  backEndState = "limited"
)

var backEndStates = []backEndState{backEndReady, backEndAvoided, backEndLeaving, backEndChanging, backEndResting, backEndLimited}

// countBackEnds counts the listed back ends in a state.
func (r *Relay) countBackEnds(state backEndState) int {
	now, count := r.clock.now(), 0
	for _, backEnds := range r.view.Load().byService {
		for _, backEnd := range backEnds {
			if backEnd.state(now) == state {
				count++
			}
		}
	}
	return count
}

// state tells how the back end stands.
func (b *backEnd) state(now time.Duration) backEndState {
	switch {
	case b.leaving():
		return backEndLeaving
	case b.resting(now):
		return backEndResting
	case b.Changing:
		return backEndChanging
	case b.limited():
		return backEndLimited
	case now < b.look(now).avoidUntil:
		return backEndAvoided
	default:
		return backEndReady
	}
}

// ended counts a request that has ended.
func (m *relayMetrics) ended(request *request, reply *replier, now time.Duration) {
	m.requests.WithLabelValues(request.route.Kind.String(), string(outcomeOf(request, reply, now))).Inc()
	if reply.refused != nil {
		m.refusals.WithLabelValues(reply.refused.reason).Inc()
	}
	m.whole.Observe((now - request.arrivedAt).Seconds())
	if request.route.Kind == serving.KindStream && request.trace.firstAt > 0 {
		m.first.Observe((request.trace.firstAt - request.arrivedAt).Seconds())
		m.gaps.Observe(request.trace.longestGap.Seconds())
	}
	if request.trace.prefillAt > 0 {
		m.queueing.Observe((request.trace.prefillAt - request.arrivedAt).Seconds())
	}
}
