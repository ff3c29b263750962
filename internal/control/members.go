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

// changeMembers changes the quorum by one step. The answer follows once the step is
// committed by the old and the new members' quorum.
func (c *Core) changeMembers(received ExecuteReceived, command language.Command) {
	members, message, err := memberStep(c.consensus.Status().Membership, command)
	if err != nil {
		c.refuseAudited(received, err)
		return
	}
	index, term, err := c.consensus.ProposeMembership(c.now, members)
	if err != nil {
		c.refuseAudited(received, c.proposalError(err))
		return
	}
	c.wait(index, term, received.Call, func(core *Core, _ controlstate.Result) {
		core.rememberCommand(received, message)
		core.answerMessage(received.Call, message)
	})
}

// rememberCommand puts a command that the state machine has not seen into the audit
// trail and the memory of first answers.
func (c *Core) rememberCommand(received ExecuteReceived, answer string) {
	c.proposeQuietly(&v1.Command{Body: &v1.Command_RecordRequest{RecordRequest: &v1.RecordRequest{
		Operator: received.Operator, RequestId: received.Request.RequestId, Text: received.Request.Text, Answer: answer,
	}}})
}

// memberStep returns the membership after a command's first step. A replacement takes
// three: this one adds the learner, and the leader does the rest once that has caught up.
func memberStep(present *v1.Membership, command language.Command) (*v1.Membership, string, error) {
	changed := proto.CloneOf(present)
	switch wanted := command.(type) {
	case language.AddMember:
		return addLearner(changed, wanted.Member)
	case language.ReplaceMember:
		if memberIndex(changed, wanted.ID) < 0 {
			return nil, "", unknownMember(wanted.ID)
		}
		return addLearner(changed, wanted.Replacement)
	case language.PromoteMember:
		position := memberIndex(changed, wanted.ID)
		if position < 0 {
			return nil, "", unknownMember(wanted.ID)
		}
		changed.Members[position].Learner = false
		return changed, fmt.Sprintf("member %s has a vote", wanted.ID), nil
	case language.RemoveMember:
		position := memberIndex(changed, wanted.ID)
		if position < 0 {
			return nil, "", unknownMember(wanted.ID)
		}
		changed.Members = slices.Delete(changed.Members, position, position+1)
		return changed, fmt.Sprintf("member %s is removed", wanted.ID), nil
	default:
		return nil, "", trace.NotImplemented("unknown change of members")
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
