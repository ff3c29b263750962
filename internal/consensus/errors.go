package consensus

import "errors"

// Sentinel errors; returned errors wrap them, so compare with errors.Is.
var (
	// ErrNotLeader tells that this member is not the leader; Status names the leader if known.
	ErrNotLeader = errors.New("this controller is not the leader")
	// ErrOverloaded tells that too many proposed bytes wait for their commit; try again later.
	ErrOverloaded = errors.New("too many uncommitted proposals")
	// ErrTransferring tells that leadership is being handed over; try the next leader.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrCompacted tells that the index is no longer in the log.
	ErrCompacted = errors.New("log index is compacted")
	// ErrUnavailable tells that the index is not yet in the log, or not yet applied.
	ErrUnavailable = errors.New("log index is not available")
	// ErrMembershipPending tells that a change of membership is not committed yet.
	ErrMembershipPending = errors.New("a change of membership is pending")
	// ErrMembershipStep tells that a change would do more than one step at a time.
	ErrMembershipStep = errors.New("a change of membership may add, remove or promote one voter")
	// ErrNotCaughtUp tells that a learner may not be promoted yet.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrUnknownMember tells that no member has the given identity.
	ErrUnknownMember = errors.New("unknown member")
	// ErrOtherFleet tells that a message came from a controller of another fleet.
	ErrOtherFleet = errors.New("message of another fleet")
	// ErrInvalidMessage tells that a message cannot come from a sound controller.
	ErrInvalidMessage = errors.New("invalid consensus message")
)
