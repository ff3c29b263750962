// Package events names the events and fields of the log lines of relays and their
// controllers. docs/EVENTS.md lists them; a test holds the two together.
package events

// Event is the kind of a log line, in its field "event".
type Event string

// Events of relays.
const (
	// RequestEnded: a request got its final answer, or its client left.
	RequestEnded Event = "request_ended"
	// AttemptFailed: a sending to a back end brought no answer.
	AttemptFailed Event = "attempt_failed"
	// RequestRefused: the relay gave an answer of its own.
	RequestRefused Event = "request_refused"
	// KeyRefused: a request was not admitted for want of a key that is known.
	KeyRefused Event = "key_refused"
	// BackEndInBackoff: a back end has asked not to be sent requests for a while.
	BackEndInBackoff Event = "back_end_rests"
	// BackEndLeaving: a back end has said in an answer that it leaves.
	BackEndLeaving Event = "back_end_leaves"
	// BackEndLimitChanged: a back end has named another limit than before for all relays together, or none any more.
	BackEndLimitChanged Event = "back_end_limits"
	// BackEndRestarted: another start than the listed one has answered under a back end's identity.
	BackEndRestarted Event = "back_end_started_again"
	// BackEndCrashed: a back end ended while it ran requests.
	BackEndCrashed Event = "back_end_ended"
	// RequestQuarantined: a request is kept away from back ends, since some have ended under it.
	RequestQuarantined Event = "request_held"
	// QuarantineTrialStarted: a held request is sent to one back end once more.
	QuarantineTrialStarted Event = "request_tried"
	// GuardCallFailed: the leader did not take what was found of ended back ends, or did not say
	// whether a held request may be tried.
	GuardCallFailed Event = "guard_call_failed"
	// OwnerSuspected: a relay that owns engines does not answer and is passed over for a while.
	OwnerSuspected Event = "owner_doubted"
	// CellAcquired and CellLeft: the relay decides from now on, or no longer, on a cell of engines, or
	// stands in for the one that does.
	CellAcquired Event = "cell_owned"
	CellReleased Event = "cell_left"
	// RunMigrated: a run was moved from an engine that takes no more work.
	RunMigrated Event = "run_moved"
	// ConfigurationApplied: another configuration is in force at the relay.
	ConfigurationApplied Event = "configuration_in_force"
	// ConfigurationUnreadable: a configuration came that cannot be read.
	ConfigurationUnreadable Event = "configuration_unreadable"
	// ListingApplied: another list of back ends is in force at the relay.
	ListingApplied Event = "listing_in_force"
	// ListingFaultChanged: something else is wrong with the outside list than before, or nothing any more.
	ListingFaultChanged Event = "listing_fault"
	// LeaderLost and LeaderFound: the relay has lost, or found again, a controller that leads.
	LeaderLost  Event = "leader_lost"
	LeaderFound Event = "leader_found"
	// GatewayStopping and GatewayStopped: a gateway is asked to stop, and has stopped: whether nothing was cut, how
	// long its port was open and the stop took, and the connections that were still open.
	GatewayStopping Event = "gateway_stopping"
	GatewayStopped  Event = "gateway_stopped"
	// RelayStopped: a relay has stopped, like GatewayStopped.
	RelayStopped Event = "relay_stopped"
	// SignalReceived: the process got a signal, and what it does about it.
	SignalReceived Event = "signal_taken"
	// RelayStarted and RelayStopping: the process begins to serve, or is asked to stop.
	RelayStarted  Event = "relay_started"
	RelayStopping Event = "relay_stopping"
)

// Events of controllers.
const (
	// StageOrdered: an engine was ordered into a stage.
	StageOrdered Event = "stage_ordered"
	// UsageDelivered: the platform was told what tenants used in a window.
	UsageDelivered Event = "usage_delivered"
	// ReplicasOrdered: the platform was asked for another number of replicas.
	ReplicasOrdered Event = "replicas_ordered"
	// FormatAgreed: another format is agreed on, or other members keep a leader from its own.
	FormatAgreed Event = "format_agreed"
	// ControllerHalted: the controller ends, since it cannot apply what others have agreed on.
	ControllerHalted Event = "controller_halted"
	// UpdateNotApplied: a relay asks again for what it was told.
	UpdateNotApplied Event = "news_not_taken"
	// DiskFailed: the data directory failed; the controller begins anew.
	DiskFailed Event = "disk_failed"
)

// Events of every process.
const (
	// SettingsReloaded: the settings file was read again.
	SettingsReloaded Event = "settings_reloaded"
	// MachineSuspended: the machine was suspended and has woken up.
	MachineSuspended Event = "machine_suspended"
	// LogLinesDropped: the log's ring was full; the counts are lines since the last count.
	LogLinesDropped Event = "log_lines_dropped"
)

// All lists every event.
var All = []Event{
	RequestEnded, AttemptFailed, RequestRefused, KeyRefused, RunMigrated, ConfigurationApplied, ConfigurationUnreadable, ListingApplied, ListingFaultChanged,
	BackEndInBackoff, BackEndLeaving, BackEndLimitChanged, BackEndRestarted, BackEndCrashed, RequestQuarantined, QuarantineTrialStarted, GuardCallFailed,
	LeaderLost, LeaderFound, OwnerSuspected, CellAcquired, CellReleased, RelayStarted, RelayStopping, RelayStopped, GatewayStopping, GatewayStopped, SignalReceived, StageOrdered, UsageDelivered, ReplicasOrdered, FormatAgreed, ControllerHalted, UpdateNotApplied, DiskFailed, SettingsReloaded, MachineSuspended, LogLinesDropped,
}

// Names of fields that lines of several events have.
const (
	FieldEvent   = "event"
	FieldProcess = "process"
	FieldTime    = "time"
	FieldRequest = "request"
	FieldTenant  = "tenant"
)
