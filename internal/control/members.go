package control

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// changeMembers changes the membership by one step. The call is answered once the quorums of
// the old and of the new members have committed the step.
func (c *Core) changeMembers(received ExecuteReceived, command language.Command) {
	members, message, err := memberStep(c.consensus.Membership(), command)
	if err != nil {
		c.refuseAudited(received, err)
		return
	}
	index, term, err := c.consensus.ProposeMembership(c.now, members)
	if err != nil {
		c.refuseAudited(received, c.proposalError(err))
		return
	}
	c.awaitEntry(index, term, received.Call, func(core *Core, _ controlstate.Result) {
		core.recordCommand(received, message)
		core.answerMessage(received.Call, message)
	})
}

// recordCommand records a command that the replicated state machine has not processed, for the
// audit trail and for resends.
func (c *Core) recordCommand(received ExecuteReceived, answer string) {
	c.proposeWithoutCall(&v1.Command{Body: &v1.Command_RecordRequest{RecordRequest: &v1.RecordRequest{
		Operator: received.Operator, RequestId: received.Request.RequestId, Text: received.Request.Text, Answer: answer,
	}}})
}

// memberStep returns the membership after the step that a command requests. A replacement
// takes up to three steps; each run of the command takes the next one.
func memberStep(present *v1.Membership, command language.Command) (*v1.Membership, string, error) {
	changed := proto.CloneOf(present)
	switch requested := command.(type) {
	case language.AddMember:
		return addLearner(changed, requested.Member)
	case language.ReplaceMember:
		return replaceStep(changed, requested)
	case language.PromoteMember:
		position := memberIndex(changed, requested.ID)
		if position < 0 {
			return nil, "", unknownMember(requested.ID)
		}
		changed.Members[position].Learner = false
		return changed, fmt.Sprintf("member %s has a vote", requested.ID), nil
	case language.RemoveMember:
		position := memberIndex(changed, requested.ID)
		if position < 0 {
			return nil, "", unknownMember(requested.ID)
		}
		changed.Members = slices.Delete(changed.Members, position, position+1)
		return changed, fmt.Sprintf("member %s is removed", requested.ID), nil
	default:
		return nil, "", trace.NotImplemented("unknown change of members")
	}
}

// replaceStep takes the next step of a replacement: the new member becomes a learner, gets
// its vote once it has caught up, and then the old member is removed, so that the quorum is
// never smaller than before.
func replaceStep(changed *v1.Membership, wanted language.ReplaceMember) (*v1.Membership, string, error) {
	old, replacement := memberIndex(changed, wanted.ID), memberIndex(changed, wanted.Replacement.GetId())
	switch {
	case old < 0 && replacement >= 0 && !changed.Members[replacement].Learner:
		return nil, "", trace.AlreadyExists("member %s is replaced by %s already", wanted.ID, wanted.Replacement.GetId())
	case old < 0:
		return nil, "", unknownMember(wanted.ID)
	case replacement < 0:
		members, _, err := addLearner(changed, wanted.Replacement)
		return members, fmt.Sprintf("step 1 of 3: member %s is a learner; run the command again for its vote", wanted.Replacement.GetId()), err
	case changed.Members[replacement].Learner:
		changed.Members[replacement].Learner = false
		return changed, fmt.Sprintf("step 2 of 3: member %s has a vote; run the command again to remove %s", wanted.Replacement.GetId(), wanted.ID), nil
	default:
		changed.Members = slices.Delete(changed.Members, old, old+1)
		return changed, fmt.Sprintf("step 3 of 3: member %s is replaced by %s", wanted.ID, wanted.Replacement.GetId()), nil
	}
}

func addLearner(changed *v1.Membership, member *v1.Member) (*v1.Membership, string, error) {
	if member.GetId() == "" || member.GetAddress() == "" {
		return nil, "", trace.BadParameter("a member needs the identity of its disk and an address")
	}
	if memberIndex(changed, member.Id) >= 0 {
		return nil, "", trace.BadParameter("member %s is in the quorum already", member.Id)
	}
	learner := proto.CloneOf(member)
	learner.Learner = true
	changed.Members = append(changed.Members, learner)
	return changed, fmt.Sprintf("member %s is a learner; promote it once it has caught up", member.Id), nil
}

func memberIndex(members *v1.Membership, id string) int {
	return slices.IndexFunc(members.GetMembers(), func(member *v1.Member) bool { return member.Id == id })
}

func unknownMember(id string) error {
	return trace.Wrap(consensus.ErrUnknownMember, "%q; see `show members`", id)
}
