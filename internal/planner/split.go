package planner

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Split is how many engines of one service play each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// roles in a fixed order, so that iteration is deterministic.
var roles = []enginecontract.Role{
	enginecontract.RolePrefill,
	enginecontract.RoleDecode,
	enginecontract.RoleMixed,
}

// Count returns the number of engines in a role.
func (s Split) Count(role enginecontract.Role) int {
	switch role {
	case enginecontract.RolePrefill:
		return s.Prefill
	case enginecontract.RoleDecode:
		return s.Decode
	case enginecontract.RoleMixed:
		return s.Mixed
	}
	return 0
}

// Add returns the split with count more (or, negative, fewer) engines in a role.
func (s Split) Add(role enginecontract.Role, count int) Split {
	switch role {
	case enginecontract.RolePrefill:
		s.Prefill += count
	case enginecontract.RoleDecode:
		s.Decode += count
	case enginecontract.RoleMixed:
		s.Mixed += count
	}
	return s
}

// Total returns the number of engines in any role.
func (s Split) Total() int { return s.Prefill + s.Decode + s.Mixed }

// String reads like "5 prefill, 7 decode, 0 mixed".
func (s Split) String() string {
	return fmt.Sprintf("%d prefill, %d decode, %d mixed", s.Prefill, s.Decode, s.Mixed)
}

// Roles returns the roles in the order in which decisions look at them.
func Roles() []enginecontract.Role { return append([]enginecontract.Role(nil), roles...) }

// ChangesTo is the least number of engines that change between two splits.
func (s Split) ChangesTo(to Split) int {
	moves := 0
	for _, role := range roles {
		moves += max(to.Count(role)-s.Count(role), 0)
	}
	return moves
}

// common is what two splits have in common.
func (s Split) common(other Split) Split {
	return Split{
		Prefill: min(s.Prefill, other.Prefill), Decode: min(s.Decode, other.Decode), Mixed: min(s.Mixed, other.Mixed),
	}
}

// firstMove names the role that has most engines too many for a target and the one
// that has most too few.
func (s Split) firstMove(to Split) (from, into enginecontract.Role, differs bool) {
	surplus, lack := 0, 0
	for _, role := range roles {
		difference := s.Count(role) - to.Count(role)
		if difference > surplus {
			surplus, from = difference, role
		}
		if -difference > lack {
			lack, into = -difference, role
		}
	}
	return from, into, surplus > 0 && lack > 0
}

// towards is the split after some moves to a target.
func (s Split) towards(to Split, moves int) Split {
	for range moves {
		from, into, differs := s.firstMove(to)
		if !differs {
			return s
		}
		s = s.Add(from, -1).Add(into, 1)
	}
	return s
}
