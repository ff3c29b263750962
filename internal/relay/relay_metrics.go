package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/relay/slots"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// role is the value of the role label in metrics.
const role = "relay"

// outcome says how a request ended for its client.
type outcome string

// Outcomes of requests.
const (
	// outcomeInTime answers met their route's targets; outcomeLate answers missed one.
	outcomeInTime outcome = "in_time"
	outcomeLate   outcome = "late"
	// outcomeRefused requests were refused by the relay with the promise that they were not run.
	outcomeRefused outcome = "refused"
	// outcomeFailed requests received another error, of a back end or of the relay.
	outcomeFailed outcome = "failed"
	// outcomeCut answers ended before they were complete, or their client disconnected.
	outcomeCut outcome = "cut"
)

// outcomeOf returns how a request ended.
func outcomeOf(request *request, reply *replier, now time.Duration) outcome {
	switch {
	case reply.aborted || reply.status == 0:
		return outcomeCut
	case reply.refusal != nil && reply.refusal.promisesNotRun():
		return outcomeRefused
	case reply.status >= 400:
		return outcomeFailed
	case request.trace.isLate(request, now):
		return outcomeLate
	default:
		return outcomeInTime
	}
}

// relayMetrics are the metrics of one relay.
type relayMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// failedAttempts counts attempts that brought no answer, by their causes; unreadRequests counts requests that could not
	// be read completely.
	failedAttempts *prometheus.CounterVec
	unreadRequests prometheus.Counter
	// answers counts the answers of back ends to clients' requests, by how their end was determined and how they ended.
	answers *prometheus.CounterVec
	// forwards counts the offers of requests to other relays, by how these handled them.
	forwards *prometheus.CounterVec
	// dials counts attempts to open connections to back ends, by outcome.
	dials *prometheus.CounterVec
	// replacements counts attempts at other back ends while the current one was silent, by outcome.
	replacements  *prometheus.CounterVec
	retries       prometheus.Counter
	deniedRetries prometheus.Counter
	// usageResends counts usage reports that had to be sent again.
	usageResends prometheus.Counter
	// backEndCrashes counts back ends that crashed while they ran requests of this relay; guardCallsFailed counts failed
	// calls to the leader about crashes.
	backEndCrashes prometheus.Counter
	// limitedSends counts messages sent to back ends with a limit; permits counts permit requests by their outcome.
	limitedSends prometheus.Counter
	permits      *prometheus.CounterVec
	// backoffs counts the backoffs that back ends asked of this relay.
	backoffs         prometheus.Counter
	guardCallsFailed prometheus.Counter
	prefillWaits     prometheus.Counter
	// startupWaits counts requests that arrived before the relay had the state to serve them.
	startupWaits prometheus.Counter
	migrations   *prometheus.CounterVec
	// originReports counts reports of where streams began to other relays, originLookups searches for it, and unconfirmedOrigins first
	// events that were sent before another relay had confirmed a report.
	originReports, unconfirmedOrigins prometheus.Counter
	originLookups                     *prometheus.CounterVec
	// continuations counts streams that went on at a back end, by cause, by whether its software version began them, and by the evidence of that.
	continuations *prometheus.CounterVec
	// placementQueries counts placement decisions by who made them; spills counts requests offered to a further cell.
	placementQueries *prometheus.CounterVec
	spills           prometheus.Counter
	// pauseForecasts counts runs by the forecast for the gap targets at their engines.
	pauseForecasts   *prometheus.CounterVec
	slots            *slots.Metrics
	datagramsDropped *prometheus.CounterVec
	firstEventTime   prometheus.Histogram
	answerTime       prometheus.Histogram
	longestGap       prometheus.Histogram
	prefillQueueTime prometheus.Histogram
}

// newRelayMetrics creates the metrics of a relay and of its log.
func newRelayMetrics(relay *Relay, log *logring.Log) *relayMetrics {
	registry, factory := metrics.NewRegistry(role, relay.settings.Name, relay.settings.Zone)
	result := &relayMetrics{
		registry:           registry,
		requests:           factory.CounterVec("requests_total", "Requests with a route, by how they ended.", "kind", "outcome"),
		refusals:           factory.CounterVec("refusals_total", "Final answers of the relay's own, by reason.", "reason"),
		failedAttempts:     factory.CounterVec("attempts_failed_total", "Attempts at back ends that brought no answer, by cause.", "cause"),
		unreadRequests:     factory.Counter("requests_unread_total", "Requests that could not be read completely."),
		answers:            factory.CounterVec("answers_total", "Answers of back ends to requests of clients, by how their end was determined and how they ended.", "framing", "end"),
		dials:              factory.CounterVec("back_end_dials_total", "Attempts to open connections to back ends, by outcome.", "outcome"),
		forwards:           factory.CounterVec("forwards_total", "Offers of requests to other relays, since this one cannot connect to back ends, by how these handled them.", "outcome"),
		replacements:       factory.CounterVec("replacements_total", "Sendings to another back end while the current one was silent, by outcome.", "outcome"),
		retries:            factory.Counter("sendings_again_total", "Sendings of requests beyond the first."),
		deniedRetries:      factory.Counter("sendings_denied_total", "Sendings beyond the first that the retry budget did not allow."),
		usageResends:       factory.Counter("usage_sendings_again_total", "Reports of tenants' usage that were not taken and had to be sent again."),
		backoffs:           factory.Counter("back_end_rests_total", "Rests that back ends have asked of this relay."),
		limitedSends:       factory.Counter("limited_sendings_total", "Sendings to back ends that had named a limit for all relays together."),
		permits:            factory.CounterVec("permits_total", "Questions whether a request may be sent to a back end that names a limit for all relays together.", "outcome"),
		backEndCrashes:     factory.Counter("back_ends_ended_total", "Back ends that ended while they ran requests of this relay."),
		guardCallsFailed:   factory.Counter("guard_calls_failed_total", "Calls to the leader on ended back ends and held requests that failed."),
		prefillWaits:       factory.Counter("reading_waits_total", "Waits of prompts for the reading of parts that they share."),
		startupWaits:       factory.Counter("start_waits_total", "Requests that waited for a configuration and a list, since they came right after the start."),
		migrations:         factory.CounterVec("runs_moved_total", "Runs that stopped at one engine to go on at another, by whether they were copied.", "copied"),
		originReports:      factory.Counter("stream_origin_reports_total", "Reports to other relays of the software versions that began streams, repetitions included."),
		unconfirmedOrigins: factory.Counter("stream_origins_unconfirmed_total", "First events that were sent although no other relay had confirmed where the stream began."),
		originLookups:      factory.CounterVec("stream_origin_lookups_total", "Searches for the software version that began a stream which a client takes up, by outcome.", "outcome"),
		continuations:      factory.CounterVec("streams_continued_total", "Streams of which the client had events and that went on at a back end, by cause, software version and evidence of the version that began them.", "cause", "software", "evidence"),
		placementQueries:   factory.CounterVec("placement_questions_total", "Decisions on engines, by who made them.", "outcome"),
		slots:              slots.NewMetrics(factory, func() *slots.Slots { return relay.slots }),
		spills:             factory.Counter("placement_spills_total", "Offers of requests to a further cell of engines."),
		pauseForecasts:     factory.CounterVec("pause_forecasts_total", "Runs by the forecast for the gap targets of the streams at their engines.", "forecast"),
		datagramsDropped:   factory.CounterVec("datagrams_dropped_total", "Datagrams between relays that were not taken, by reason.", "reason"),
		firstEventTime:     factory.Histogram("first_event_seconds", "Time from a request to the first event of its stream."),
		answerTime:         factory.Histogram("answer_seconds", "Time from a request to the end of its answer."),
		longestGap:         factory.Histogram("gap_seconds", "Longest pause between events of a stream."),
		prefillQueueTime:   factory.Histogram("reading_queue_seconds", "Time from a request until its prompt was sent to be read."),
	}
	factory.GaugeFunc("configuration_number", "Number of the configuration in force here; 0 before the first.", func() float64 {
		return float64(relay.viewSnapshot().configuration)
	})
	factory.GaugeFunc("leader_age_seconds", "Time since the last word of a leader.", func() float64 {
		return relay.viewSnapshot().leaderAge.Seconds()
	})
	factory.GaugeFunc("configuration_age_seconds", "Time since the configuration was put in force here.", func() float64 {
		return (relay.clock.now() - relay.view.Load().configuredAt).Seconds()
	})
	factory.GaugeFunc("listing_age_seconds", "Time since the list of back ends changed here.", func() float64 {
		return (relay.clock.now() - relay.view.Load().listedAt).Seconds()
	})
	factory.GaugeFunc("slowed_engines", "Engines of the cells owned here that are slowed down now.", func() float64 {
		return float64(relay.countSlowedEngines())
	})
	factory.GaugeFunc("notice_age_seconds", "Time since the last word of another relay on its work.", func() float64 {
		return (relay.clock.now() - relay.notices.table.lastReceivedAt()).Seconds()
	})
	factory.GaugeFunc("owned_engines", "Engines on which this relay decides for all relays, or stands in for the one that does.", func() float64 {
		return float64(len(relay.owners.ownedEngines()))
	})
	factory.GaugeFunc("retry_budget_left", "Sendings beyond the first that the service with fewest left allows.", func() float64 {
		return relay.budget.MinLeft(relay.clock.now())
	})
	factory.GaugeFunc("requests_held", "Requests that are kept away from back ends, since some have ended under them.", func() float64 {
		return float64(relay.guard.QuarantinedCount())
	})
	factory.GaugeFunc("usage_unreported", "Requests that began to run and that no leader has been told of yet.", func() float64 {
		return float64(relay.usage.UnreportedCount())
	})
	factory.GaugeFunc("prompt_parts_held", "Parts of prompts that are kept away from back ends, since some have ended under them.", func() float64 {
		return float64(relay.guard.QuarantinedPartCount())
	})
	factory.GaugeFunc("stream_origins_held", "Records of the software versions that began streams that this relay holds.", func() float64 {
		return float64(relay.origins.HeldCount())
	})
	for _, state := range backEndStates {
		factory.GaugeFunc("back_ends_"+string(state), "Back ends of the list in this state.", func() float64 {
			return float64(relay.countBackEnds(state))
		})
	}
	factory.GaugeFunc("log_lines_dropped", "Lines of the log dropped since the start.", func() float64 {
		return float64(log.DroppedLines())
	})
	return result
}

// backEndState is the state of a back end from this relay's point of view.
type backEndState string

// States of back ends.
const (
	backEndReady     backEndState = "ready"
	backEndAvoided   backEndState = "avoided"
	backEndLeaving   backEndState = "leaving"
	backEndChanging  backEndState = "changing"
	backEndInBackoff backEndState = "resting"
	backEndLimited   backEndState = "limited"
)

var backEndStates = []backEndState{backEndReady, backEndAvoided, backEndLeaving, backEndChanging, backEndInBackoff, backEndLimited}

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

// state returns the back end's state; the first one that applies, in the order of the cases.
func (b *backEnd) state(now time.Duration) backEndState {
	switch {
	case b.isLeaving():
		return backEndLeaving
	case b.inBackoff(now):
		return backEndInBackoff
	case b.Changing:
		return backEndChanging
	case b.hasLimit():
		return backEndLimited
	case now < b.currentLoad(now).avoidUntil:
		return backEndAvoided
	default:
		return backEndReady
	}
}

// recordEnd counts a request that has ended and records its durations.
func (m *relayMetrics) recordEnd(request *request, reply *replier, now time.Duration) {
	m.requests.WithLabelValues(request.route.Kind.String(), string(outcomeOf(request, reply, now))).Inc()
	if reply.refusal != nil {
		m.refusals.WithLabelValues(reply.refusal.reason).Inc()
	}
	m.answerTime.Observe((now - request.arrivedAt).Seconds())
	if request.route.Kind == serving.KindStream && request.trace.firstAt > 0 {
		m.firstEventTime.Observe((request.trace.firstAt - request.arrivedAt).Seconds())
		m.longestGap.Observe(request.trace.longestGap.Seconds())
	}
	if request.trace.prefillAt > 0 {
		m.prefillQueueTime.Observe((request.trace.prefillAt - request.arrivedAt).Seconds())
	}
}
