package planner

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Split is the number of engines of one service in each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// roles lists the roles in a fixed order, so that iteration is deterministic.
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

// Add returns the split with count more engines in a role, or fewer if count is negative.
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

// Total returns the number of engines in all roles.
func (s Split) Total() int { return s.Prefill + s.Decode + s.Mixed }

// String returns text like "5 prefill, 7 decode, 0 mixed".
func (s Split) String() string {
	return fmt.Sprintf("%d prefill, %d decode, %d mixed", s.Prefill, s.Decode, s.Mixed)
}

// Roles returns the roles in the order in which planning decisions consider them.
func Roles() []enginecontract.Role { return append([]enginecontract.Role(nil), roles...) }

// ChangesTo returns the smallest number of role changes between two splits.
func (s Split) ChangesTo(to Split) int {
	changes := 0
	for _, role := range roles {
		changes += max(to.Count(role)-s.Count(role), 0)
	}
	return changes
}

// overlap returns, for each role, the number of engines that need not change between the two splits.
func (s Split) overlap(other Split) Split {
	return Split{
		Prefill: min(s.Prefill, other.Prefill), Decode: min(s.Decode, other.Decode), Mixed: min(s.Mixed, other.Mixed),
	}
}

// largestMismatch returns the role with the largest surplus and the role with the largest shortfall of engines compared
// to a target. differs is false if no engine can change from a surplus to a shortfall.
func (s Split) largestMismatch(to Split) (from, into enginecontract.Role, differs bool) {
	surplus, shortfall := 0, 0
	for _, role := range roles {
		difference := s.Count(role) - to.Count(role)
		if difference > surplus {
			surplus, from = difference, role
		}
		if -difference > shortfall {
			shortfall, into = -difference, role
		}
	}
	return from, into, surplus > 0 && shortfall > 0
}

// towards returns the split after the given number of changes towards a target.
func (s Split) towards(to Split, changes int) Split {
	for range changes {
		from, into, differs := s.largestMismatch(to)
		if !differs {
			return s
		}
		s = s.Add(from, -1).Add(into, 1)
	}
	return s
}
