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
	// BackEndRests: a back end has asked not to be sent requests for a while.
	BackEndRests Event = "back_end_rests"
	// BackEndLeaves: a back end has said in an answer that it leaves.
	BackEndLeaves Event = "back_end_leaves"
	// BackEndLimits: a back end has named another limit than before for all relays together, or none any more.
	BackEndLimits Event = "back_end_limits"
	// BackEndStartedAgain: another start than the listed one has answered under a back end's identity.
	BackEndStartedAgain Event = "back_end_started_again"
	// BackEndEnded: a back end ended while it ran requests.
	BackEndEnded Event = "back_end_ended"
	// RequestHeld: a request is kept away from back ends, since some have ended under it.
	RequestHeld Event = "request_held"
	// RequestTried: a held request is sent to one back end once more.
	RequestTried Event = "request_tried"
	// GuardCallFailed: the leader did not take what was found of ended back ends, or did not say
	// whether a held request may be tried.
	GuardCallFailed Event = "guard_call_failed"
	// OwnerDoubted: a relay that owns engines does not answer and is passed over for a while.
	OwnerDoubted Event = "owner_doubted"
	// CellOwned and CellLeft: the relay decides from now on, or no longer, on a cell of engines, or
	// stands in for the one that does.
	CellOwned Event = "cell_owned"
	CellLeft  Event = "cell_left"
	// RunMoved: a run was moved from an engine that takes no more work.
	RunMoved Event = "run_moved"
	// ConfigurationInForce: another configuration is in force at the relay.
	ConfigurationInForce Event = "configuration_in_force"
	// ConfigurationUnreadable: a configuration came that cannot be read.
	ConfigurationUnreadable Event = "configuration_unreadable"
	// ListingInForce: another list of back ends is in force at the relay.
	ListingInForce Event = "listing_in_force"
	// ListingFault: something else is wrong with the outside list than before, or nothing any more.
	ListingFault Event = "listing_fault"
	// LeaderLost and LeaderFound: the relay has lost, or found again, a controller that leads.
	LeaderLost  Event = "leader_lost"
	LeaderFound Event = "leader_found"
	// GatewayStopping and GatewayStopped: a gateway is asked to stop, and has stopped: whether nothing was cut, how
	// long its port was open and the stop took, and the connections that were still open.
	GatewayStopping Event = "gateway_stopping"
	GatewayStopped  Event = "gateway_stopped"
	// RelayStopped: a relay has stopped, like GatewayStopped.
	RelayStopped Event = "relay_stopped"
	// SignalTaken: the process got a signal, and what it does about it.
	SignalTaken Event = "signal_taken"
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
	// NewsNotTaken: a relay asks again for what it was told.
	NewsNotTaken Event = "news_not_taken"
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
	RequestEnded, AttemptFailed, RequestRefused, KeyRefused, RunMoved, ConfigurationInForce, ConfigurationUnreadable, ListingInForce, ListingFault,
	BackEndRests, BackEndLeaves, BackEndLimits, BackEndStartedAgain, BackEndEnded, RequestHeld, RequestTried, GuardCallFailed,
	LeaderLost, LeaderFound, OwnerDoubted, CellOwned, CellLeft, RelayStarted, RelayStopping, RelayStopped, GatewayStopping, GatewayStopped, SignalTaken, StageOrdered, UsageDelivered, ReplicasOrdered, FormatAgreed, ControllerHalted, NewsNotTaken, DiskFailed, SettingsReloaded, MachineSuspended, LogLinesDropped,
}

// Names of fields that lines of several events have.
const (
	FieldEvent   = "event"
	FieldProcess = "process"
	FieldTime    = "time"
	FieldRequest = "request"
	FieldTenant  = "tenant"
)
