package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// maximumCommandBytes is the maximum encoded size of one command in the log.
const maximumCommandBytes = 12 << 20

// pendingCall is a call that waits for its log entry to be applied.
type pendingCall struct {
	id   CallID
	term uint64
	// otherCalls are further calls that wait for the same entry; finish answers them too.
	otherCalls []CallID
	// finish answers the call with the result of the entry.
	finish func(*Core, controlstate.Result)
}

// propose appends a command to the log and returns its log index. If finish is not nil, it
// answers the call once the entry is applied.
func (c *Core) propose(command *v1.Command, call CallID, finish func(*Core, controlstate.Result)) (uint64, error) {
	if !c.canPropose(command) {
		return 0, errFormatNotAgreed
	}
	command.ProposedAtMs = c.wallMs()
	if c.state.AgreedFormat() > formats.First {
		command.AgreedAt = c.state.AgreementIndex()
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, trace.BadParameter("the command cannot be encoded: %v", err)
	}
	if len(data) > maximumCommandBytes {
		return 0, trace.LimitExceeded("the command has %d bytes; at most %d, so apply it in parts", len(data), maximumCommandBytes)
	}
	index, term, err := c.consensus.Propose(c.now, data)
	if err != nil {
		return 0, c.proposalError(err)
	}
	c.awaitEntry(index, term, call, finish)
	return index, nil
}

// awaitEntry registers a call that waits for the entry with this index and term; without finish, no call waits for it.
func (c *Core) awaitEntry(index, term uint64, call CallID, finish func(*Core, controlstate.Result)) {
	if finish != nil {
		c.pending[index] = pendingCall{id: call, term: term, finish: finish}
	}
}

// failPendingCall answers the calls that wait for an entry that may or may not be applied.
func (c *Core) failPendingCall(call pendingCall) {
	c.refuse(call.id, errLostLeadership)
	for _, other := range call.otherCalls {
		c.refuse(other, errLostLeadership)
	}
}

// proposeForCall proposes a command for a call, and refuses the call if that fails.
func (c *Core) proposeForCall(command *v1.Command, call CallID, finish func(*Core, controlstate.Result)) {
	if _, err := c.propose(command, call, finish); err != nil {
		c.refuse(call, err)
	}
}

// proposeForCalls proposes a command for which several calls wait, and refuses them if that fails.
func (c *Core) proposeForCalls(command *v1.Command, calls []CallID, finish func(*Core, controlstate.Result)) {
	index, err := c.propose(command, calls[0], finish)
	if err != nil {
		for _, call := range calls {
			c.refuse(call, err)
		}
		return
	}
	waiting := c.pending[index]
	waiting.otherCalls = calls[1:]
	c.pending[index] = waiting
}

// proposeWithoutCall proposes a command for which no call waits. A failure is ignored, because
// the caller proposes the command again when it is still needed.
func (c *Core) proposeWithoutCall(command *v1.Command) {
	_, _ = c.propose(command, 0, nil)
}

// requireLeader reports whether this controller leads with a valid lease, and refuses the call if it does not.
func (c *Core) requireLeader(call CallID) bool {
	if c.canAnswerAsLeader() {
		return true
	}
	c.refuse(call, c.notLeader())
	return false
}

// canAnswerAsLeader reports whether this controller leads with a valid lease, so that its applied state includes
// everything that any controller has acknowledged.
func (c *Core) canAnswerAsLeader() bool {
	if !c.config.Safeguards.IsEnabled(SafeguardLeaseRead) {
		return c.consensus.IsLeader()
	}
	return c.consensus.HasValidLease(c.now)
}

// notLeader returns an error that names the leader if it is known.
func (c *Core) notLeader() error {
	if c.consensus.Leader() == c.consensus.ID() {
		return &NotLeaderError{}
	}
	return &NotLeaderError{Leader: c.consensus.LeaderAddress()}
}
