// Package events names the events and fields of the log lines of relays and their
// controllers. The reference of events lists them, and a test compares the two.
package events

// Event is the kind of a log line, written in its field "event".
type Event string

// Events of relays.
const (
	// RequestEnded: a request received its final answer, or its client disconnected.
	RequestEnded Event = "request_ended"
	// AttemptFailed: an attempt at a back end returned no answer.
	AttemptFailed Event = "attempt_failed"
	// AnswerGivenUp: a relay ended the exchange with a silent back end in favor of another back end.
	AnswerGivenUp Event = "answer_given_up"
	// PathLost and PathRestored: the relay or gateway can connect to no back end of a service, or to one again.
	PathLost     Event = "path_lost"
	PathRestored Event = "path_found"
	// RequestRefused: the relay answered a request itself.
	RequestRefused Event = "request_refused"
	// RequestUnread: a request could not be read completely; a field holds the status of the answer, 0 for none.
	RequestUnread Event = "request_unread"
	// KeyRefused: a request was not admitted because it had no known API key.
	KeyRefused Event = "key_refused"
	// BackEndInBackoff: a back end asked to receive no requests for a while.
	BackEndInBackoff Event = "back_end_rests"
	// BackEndLeaving: a back end announced in an answer that it is leaving.
	BackEndLeaving Event = "back_end_leaves"
	// BackEndLimitChanged: a back end set a different limit for all relays together, or removed it.
	BackEndLimitChanged Event = "back_end_limits"
	// BackEndRestarted: an incarnation other than the listed one answered under a back end's identity.
	BackEndRestarted Event = "back_end_started_again"
	// BackEndCrashed: a back end crashed while it ran requests.
	BackEndCrashed Event = "back_end_ended"
	// RequestQuarantined: a request is kept away from back ends because some crashed while they ran it.
	RequestQuarantined Event = "request_held"
	// QuarantineTrialStarted: a quarantined request is sent to one back end once more.
	QuarantineTrialStarted Event = "request_tried"
	// GuardCallFailed: a call to the leader failed that reports crashes of back ends or asks whether a quarantined
	// request may run as a trial.
	GuardCallFailed Event = "guard_call_failed"
	// OwnerSuspected: a relay that owns engines does not answer and is skipped for a while.
	OwnerSuspected Event = "owner_doubted"
	// CellAcquired and CellReleased: the relay starts, or stops, to decide on a cell of engines, as its owner or as the
	// owner's deputy.
	CellAcquired Event = "cell_owned"
	CellReleased Event = "cell_left"
	// SlotsAcquired and SlotsReleased: the relay starts, or stops, to grant the slots of a service, as their owner or as the
	// owner's deputy.
	SlotsAcquired Event = "slots_owned"
	SlotsReleased Event = "slots_left"
	// SlotRefused: the owner of a service's slots refused a request for a slot.
	SlotRefused Event = "slot_refused"
	// SlotGranted: the owner of a service's slots granted a slot; only a sample of the grants is logged.
	SlotGranted Event = "slot_granted"
	// RunMigrated: a run was migrated from an engine that accepts no more work.
	RunMigrated Event = "run_moved"
	// StreamContinued: a stream of which the client has events goes on at a back end.
	StreamContinued Event = "stream_goes_on"
	// VersionsUnread: the leader cannot be asked which software versions can have begun streams.
	VersionsUnread Event = "versions_unread"
	// ConfigurationApplied: the relay applied a different configuration.
	ConfigurationApplied Event = "configuration_in_force"
	// ConfigurationUnreadable: the relay received a configuration that it cannot parse.
	ConfigurationUnreadable Event = "configuration_unreadable"
	// ListingApplied: the relay applied a different list of back ends.
	ListingApplied Event = "listing_in_force"
	// ListingFaultChanged: the faults found in the external list changed, or the list has none any more.
	ListingFaultChanged Event = "listing_fault"
	// LeaderLost and LeaderFound: the relay lost, or found again, a controller that is the leader.
	LeaderLost  Event = "leader_lost"
	LeaderFound Event = "leader_found"
	// GatewayStopping and GatewayStopped: a gateway was asked to stop, and has stopped. The latter has fields for whether
	// the stop was clean, how long the port stayed open, how long the stop took, and the connections still open.
	GatewayStopping Event = "gateway_stopping"
	GatewayStopped  Event = "gateway_stopped"
	// RelayStopped: a relay has stopped; it has the fields of GatewayStopped.
	RelayStopped Event = "relay_stopped"
	// SignalReceived: the process received a signal; a field names its action.
	SignalReceived Event = "signal_taken"
	// RelayStarted and RelayStopping: the relay started to serve, or was asked to stop.
	RelayStarted  Event = "relay_started"
	RelayStopping Event = "relay_stopping"
)

// Events of controllers.
const (
	// StageOrdered: an engine was ordered into a stage.
	StageOrdered Event = "stage_ordered"
	// UsageDelivered: the usage of tenants in a window was reported to the platform.
	UsageDelivered Event = "usage_delivered"
	// ReplicasOrdered: a different number of replicas was ordered from the platform.
	ReplicasOrdered Event = "replicas_ordered"
	// FormatAgreed: the controllers agreed on a different format of their data, or the controllers changed that keep a
	// leader from using its newest format because they do not support it or have not reported their formats.
	FormatAgreed Event = "format_agreed"
	// MemberDecided: a leader promotes or removes a member of the replicated log, keeps a voter that is silent, or lets a
	// learner wait.
	MemberDecided Event = "member_decided"
	// LeaderMissing: the controller knows no leader; the fields tell how its last election went and what contact it has with
	// each peer.
	LeaderMissing Event = "leader_missing"
	// StartStepSlow: a step of a controller's start takes, or took, long, or failed.
	StartStepSlow Event = "start_step"
	// LoopStalled: the goroutine that owns a controller's state does not answer.
	LoopStalled Event = "loop_stalled"
	// ControllerHalted: the controller stops because it cannot apply a committed entry.
	ControllerHalted Event = "controller_halted"
	// UpdateNotApplied: a relay requests an update that a controller has already sent to it.
	UpdateNotApplied Event = "news_not_taken"
	// DiskFailed: the data directory failed; the controller restarts from its contents.
	DiskFailed Event = "disk_failed"
)

// Events of every process.
const (
	// SettingsReloaded: the settings file was read again.
	SettingsReloaded Event = "settings_reloaded"
	// MachineSuspended: the machine was suspended and has woken up.
	MachineSuspended Event = "machine_suspended"
	// LogLinesDropped: the queue of log lines was full; the fields count lines since the last such event.
	LogLinesDropped Event = "log_lines_dropped"
)

// All lists every event.
var All = []Event{
	RequestEnded, AttemptFailed, AnswerGivenUp, RequestRefused, RequestUnread, PathLost, PathRestored, KeyRefused, RunMigrated, StreamContinued, VersionsUnread, ConfigurationApplied, ConfigurationUnreadable, ListingApplied, ListingFaultChanged,
	BackEndInBackoff, BackEndLeaving, BackEndLimitChanged, BackEndRestarted, BackEndCrashed, RequestQuarantined, QuarantineTrialStarted, GuardCallFailed,
	LeaderLost, LeaderFound, OwnerSuspected, CellAcquired, CellReleased, SlotsAcquired, SlotsReleased, SlotRefused, SlotGranted, RelayStarted, RelayStopping, RelayStopped, GatewayStopping, GatewayStopped, SignalReceived, StageOrdered, UsageDelivered, ReplicasOrdered, FormatAgreed, MemberDecided, LeaderMissing, StartStepSlow, LoopStalled, ControllerHalted, UpdateNotApplied, DiskFailed, SettingsReloaded, MachineSuspended, LogLinesDropped,
}

// Names of fields that several events have in common.
const (
	FieldEvent   = "event"
	FieldProcess = "process"
	FieldTime    = "time"
	FieldRequest = "request"
	FieldTenant  = "tenant"
)
