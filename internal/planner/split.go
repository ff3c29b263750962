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
