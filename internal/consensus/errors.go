package consensus

import "errors"

// Sentinel errors. Returned errors wrap them, so compare with errors.Is.
var (
	// ErrNotLeader means that this member is not the leader; Status names the leader if known.
	ErrNotLeader = errors.New("this controller is not the leader")
	// ErrOverloaded means that too many proposed bytes are not committed yet; try again later.
	ErrOverloaded = errors.New("too many uncommitted proposals")
	// ErrTransferring means that leadership is being transferred; try the next leader.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrCompacted means that the index is no longer in the log.
	ErrCompacted = errors.New("log index is compacted")
	// ErrUnavailable means that the index is not in the log yet, or not applied yet.
	ErrUnavailable = errors.New("log index is not available")
	// ErrMembershipPending means that a membership change is not committed yet.
	ErrMembershipPending = errors.New("a change of membership is pending")
	// ErrMembershipStep means that a membership change would make more than one step.
	ErrMembershipStep = errors.New("a change of membership may add, remove or promote one voter")
	// ErrNotCaughtUp means that a learner's log is too far behind for promotion.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember means that no member has the given identity.
	ErrUnknownMember = errors.New("unknown member")
	// ErrOtherFleet means that a message came from a controller of another fleet.
	ErrOtherFleet = errors.New("message of another fleet")
	// ErrInvalidMessage means that a correct controller would not send such a message.
	ErrInvalidMessage = errors.New("invalid consensus message")
)
