package leaderloss

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

// member is one row of `show members`.
type member struct{ id, address, part string }

// members are the controllers of the quorum.
type members []member

// Columns of `show members`.
const (
	columnID      = 0
	columnAddress = 1
	columnPart    = 3
)

// Parts that a member plays.
const (
	partLeader  = "leader"
	partLearner = "learner"
)

// members asks the leader who is in the quorum.
func (r *run) members(ctx context.Context) (members, error) {
	answer, err := r.operator.Execute(ctx, "show members")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var found members
	for _, row := range answer.GetRows() {
		cells := row.GetCells()
		found = append(found, member{id: cells[columnID], address: cells[columnAddress], part: cells[columnPart]})
	}
	return found, nil
}

// replaced reports whether exactly one member is at an address, with a vote, and on
// a disk that was no member before.
func (m members) replaced(before members, address string) bool {
	known := make(map[string]bool)
	for _, present := range before {
		known[present.id] = true
	}
	at, replaced := 0, false
	for _, present := range m {
		if present.address == address {
			at++
			replaced = present.part != partLearner && !known[present.id]
		}
	}
	return at == 1 && replaced
}

// leader returns the process that leads.
func (r *run) leader(ctx context.Context) (*fleet.Process, error) {
	return r.controller(ctx, func(part string) bool { return part == partLeader })
}

// follower returns a process that has a vote and does not lead.
func (r *run) follower(ctx context.Context) (*fleet.Process, error) {
	return r.controller(ctx, func(part string) bool { return part != partLeader && part != partLearner })
}

func (r *run) controller(ctx context.Context, plays func(part string) bool) (*fleet.Process, error) {
	present, err := r.members(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, wanted := range present {
		for _, process := range r.controllers {
			if process.Listen == wanted.address && process.Running() && plays(wanted.part) {
				return process, nil
			}
		}
	}
	return nil, trace.NotFound("no running controller plays the part: %v", present)
}
