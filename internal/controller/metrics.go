package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// instruments are the metrics of a controller process.
type instruments struct {
	calls             *prometheus.CounterVec
	wireBytes         *prometheus.CounterVec
	messageBytes      *prometheus.CounterVec
	engineExchange    *prometheus.CounterVec
	peerSent          prometheus.Counter
	peerDropped       prometheus.Counter
	peerRefused       prometheus.Counter
	stepSeconds       *prometheus.CounterVec
	steps             *prometheus.CounterVec
	syncs             prometheus.Counter
	syncedBatches     prometheus.Counter
	syncSeconds       prometheus.Histogram
	leader            prometheus.Gauge
	term              prometheus.Gauge
	commitIndex       prometheus.Gauge
	appliedIndex      prometheus.Gauge
	logBytes          prometheus.Gauge
	revision          prometheus.Gauge
	gateways          prometheus.Gauge
	machines          prometheus.Gauge
	agreedFormat      prometheus.Gauge
	agreementBlockers prometheus.Gauge
	quorum            quorumInstruments
	site              siteInstruments
}

func newInstruments(factory metrics.Factory) instruments {
	return instruments{
		calls:             factory.CounterVec("calls_total", "Calls of nodes and operators by procedure and code.", "procedure", "code"),
		wireBytes:         factory.CounterVec("wire_bytes_total", "Bytes on connections: accepted ones, to peers, and to systems outside.", "connection", "direction"),
		messageBytes:      factory.CounterVec("message_bytes_total", "Encoded bytes of messages by procedure, without the protocol around them.", "procedure", "direction"),
		engineExchange:    factory.CounterVec("engine_exchanges_total", "Exchanges with engines by duty and outcome.", "duty", "outcome"),
		peerSent:          factory.Counter("peer_messages_sent_total", "Consensus messages delivered to other controllers."),
		peerDropped:       factory.Counter("peer_messages_dropped_total", "Consensus messages dropped because a peer was slow or away."),
		peerRefused:       factory.Counter("peer_messages_refused_total", "Consensus messages of peers refused because the queue was full."),
		stepSeconds:       factory.CounterVec("core_step_seconds_total", "Time the core spent by kind of input.", "input"),
		steps:             factory.CounterVec("core_steps_total", "Steps of the core by kind of input.", "input"),
		syncs:             factory.Counter("disk_syncs_total", "Syncs of the log."),
		syncedBatches:     factory.Counter("disk_batches_total", "Batches written; several share a sync."),
		syncSeconds:       factory.Histogram("disk_sync_seconds", "Time to write and sync."),
		leader:            factory.Gauge("leader", "1 while this controller leads with a valid lease."),
		term:              factory.Gauge("term", "Consensus term."),
		commitIndex:       factory.Gauge("commit_index", "Highest log index known to be durable on a quorum."),
		appliedIndex:      factory.Gauge("applied_index", "Highest log index applied here."),
		logBytes:          factory.Gauge("log_bytes", "Bytes of the log entries that this controller holds in memory."),
		revision:          factory.Gauge("revision", "Revision of the configuration in force here."),
		gateways:          factory.Gauge("gateways", "Gateways heard of lately by this controller."),
		machines:          factory.Gauge("machines", "Back ends this controller knows."),
		agreedFormat:      factory.Gauge("agreed_format", "Highest format whose entries of the log take effect here."),
		agreementBlockers: factory.Gauge("members_of_former_formats", "Controllers that keep this leader from an agreement on its newest format of the log; 0 at others."),
		quorum:            newQuorumInstruments(factory),
		site:              newSiteInstruments(factory),
	}
}
