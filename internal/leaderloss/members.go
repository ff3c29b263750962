package leaderloss

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// quorumMember is one row of `show members`.
type quorumMember struct{ id, address, role string }

// quorumMembers are the members of the quorum, learners included.
type quorumMembers []quorumMember

// Columns of `show members`.
const (
	columnID      = 0
	columnAddress = 1
	columnRole    = 3
)

// Roles of members, as `show members` names them.
const (
	roleLeader  = "leader"
	roleLearner = "learner"
)

// members queries the members of the quorum.
func (r *run) members(ctx context.Context) (quorumMembers, error) {
	answer, err := r.operator.Execute(ctx, "show members")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var found quorumMembers
	for _, row := range answer.GetRows() {
		cells := row.GetCells()
		found = append(found, quorumMember{id: cells[columnID], address: cells[columnAddress], role: cells[columnRole]})
	}
	return found, nil
}

// hasReplaced reports whether exactly one member is at an address and that member has a vote and
// an ID that no member had before.
func (m quorumMembers) hasReplaced(before quorumMembers, address string) bool {
	known := make(map[string]bool)
	for _, member := range before {
		known[member.id] = true
	}
	at, replaced := 0, false
	for _, member := range m {
		if member.address == address {
			at++
			replaced = member.role != roleLearner && !known[member.id]
		}
	}
	return at == 1 && replaced
}

// leader returns the controller process that leads.
func (r *run) leader(ctx context.Context) (*fleet.Process, error) {
	return r.controller(ctx, func(role string) bool { return role == roleLeader })
}

// follower returns a controller process that has a vote and does not lead.
func (r *run) follower(ctx context.Context) (*fleet.Process, error) {
	return r.controller(ctx, func(role string) bool { return role != roleLeader && role != roleLearner })
}

func (r *run) controller(ctx context.Context, matches func(role string) bool) (*fleet.Process, error) {
	members, err := r.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, member := range members {
		for _, process := range r.controllers {
			if process.Listen == member.address && process.Running() && matches(member.role) {
				return process, nil
			}
		}
	}
	return nil, trace.NotFound("no running controller has the required role; the members are %v", members)
}
