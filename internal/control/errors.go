package control

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/authority"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
)

// NotLeaderError is the Err of an Answer to a call that only the leader can answer.
type NotLeaderError struct {
	// Leader is the IP:port of the leader as far as this controller knows it, or "".
	Leader string
}

// Error returns a message that names the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this controller is not the leader and knows none; try another or try again later"
	}
	return fmt.Sprintf("this controller is not the leader; ask %s", e.Leader)
}

// errLostLeadership is the answer to a call whose entry was proposed here and may or may not be committed.
var errLostLeadership = trace.ConnectionProblem(nil,
	"leadership was lost before the change was confirmed; send it again with the same identity")

// proposalError converts an error of the replicated log to one for the caller.
func (c *Core) proposalError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return c.notLeader()
	case errors.Is(err, consensus.ErrOverloaded):
		return trace.LimitExceeded("%v; try again later", err)
	case errors.Is(err, consensus.ErrTransferring):
		return trace.ConnectionProblem(err, "leadership is being handed over; try again later")
	default:
		return trace.Wrap(err)
	}
}

// oneLine formats an error's message for a table cell: its parts in one line, the outermost first.
func oneLine(err error) string {
	var parts []string
	for _, part := range strings.Split(trace.UserMessage(err), "\n") {
		parts = append(parts, strings.TrimSpace(part))
	}
	return strings.Join(parts, ": ")
}

// classify returns an error of the kind that tells a client how to proceed.
func classify(err error) error {
	message := trace.UserMessage(err)
	switch {
	case err == nil:
		return nil
	case isAny(err, controlstate.ErrUnknownEngine, authority.ErrEngineUnknown, controlstate.ErrNoSuchOrder,
		consensus.ErrUnknownMember):
		return trace.NotFound("%s", message)
	case isAny(err, controlstate.ErrTooManyClaims, authority.ErrTooManyOutOfService, authority.ErrTooManyLoads):
		return trace.LimitExceeded("%s", message)
	case isAny(err, controlstate.ErrInvalidCommand, controlstate.ErrRequestReused, controlstate.ErrClaimExpired,
		controlstate.ErrClaimNotHeld):
		return trace.BadParameter("%s", message)
	case isAny(err, controlstate.ErrOrderOutstanding, authority.ErrEngineBusy, authority.ErrEngineState,
		authority.ErrRoleBound, consensus.ErrMembershipPending, consensus.ErrMembershipStep, consensus.ErrNotCaughtUp):
		return trace.CompareFailed("%s", message)
	case isAny(err, controlstate.ErrStaleEpoch, authority.ErrNoAuthority, authority.ErrEngineSilent):
		return trace.ConnectionProblem(err, "%s", message)
	default:
		return err
	}
}

func isAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
