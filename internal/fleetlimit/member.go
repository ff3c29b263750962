package fleetlimit

import (
	"math"
	"slices"
	"time"
)

// neverHeard stands for a process that has not been heard at all.
const neverHeard = time.Duration(math.MaxInt64)

// Member is one of the processes among which the counts of back ends are spread. It is not safe for concurrent use.
type Member struct {
	tenure *Ownership
	keeper *LimitCounters
	// firstHeardAt is when a process that ranks before this one was heard last, by the back end whose count it keeps.
	firstHeardAt map[uint64]time.Duration
}

// NewMember returns the member with an address.
func NewMember(self string) *Member {
	return &Member{tenure: NewOwnership(self), keeper: NewLimitCounters(), firstHeardAt: map[uint64]time.Duration{}}
}

// SetProcesses takes another list of the processes' addresses.
func (m *Member) SetProcesses(now time.Duration, processes []string) {
	m.tenure.SetProcesses(now, processes)
}

// OwnersOf returns the addresses of those that keep the count of a back end, in the order in which they are asked.
func (m *Member) OwnersOf(backEnd uint64) []string { return m.tenure.OwnersOf(backEnd) }

// HandleRequest answers a process that asks for a permit; fresh tells that the list of processes is not old. It reports false
// where this process does not keep the back end's count: another one must be asked.
func (m *Member) HandleRequest(now time.Duration, ask PermitRequest, fresh bool, draw float64) (PermitResponse, bool) {
	part := m.part(now, ask.BackEnd, fresh)
	if part == 0 {
		return PermitResponse{}, false
	}
	return m.keeper.HandleRequest(now, ask, part, draw), true
}

// part is the part of the limit that this process grants.
func (m *Member) part(now time.Duration, backEnd uint64, fresh bool) float64 {
	return m.tenure.Fraction(now, backEnd, MembershipView{ListIsFresh: fresh, FirstOwnerSilence: m.firstSilent(now, backEnd)})
}

// firstSilent is how long nothing was heard of a process that ranks before this one. One that was never heard counts as
// silent since this process has been asked in its place.
func (m *Member) firstSilent(now time.Duration, backEnd uint64) time.Duration {
	heardAt, heard := m.firstHeardAt[backEnd]
	switch {
	case m.tenure.Rank(backEnd) > 0:
		silent := m.keeper.askedFor(now, backEnd)
		if heard {
			silent = min(silent, now-heardAt)
		}
		return silent
	case heard:
		return now - heardAt
	default:
		return neverHeard
	}
}

// ApplyNotice takes the limit of a back end as it is known to another process; sender is its address.
func (m *Member) ApplyNotice(now time.Duration, sender string, told BackEndLimit) {
	if m.tenure.Outranks(told.BackEnd, sender) {
		m.firstHeardAt[told.BackEnd] = now
	}
	m.SetLimit(now, told)
}

// SetLimit takes the limit that a back end has named to this process or another one. It reports whether that is news here,
// where the back end's count is kept.
func (m *Member) SetLimit(now time.Duration, named BackEndLimit) (news bool) {
	if m.tenure.Rank(named.BackEnd) < 0 {
		return false
	}
	return m.keeper.SetLimit(now, named.BackEnd, named.Limit)
}

// Notices returns what the other processes should know: the limits whose counts are this process's to keep.
func (m *Member) Notices(now time.Duration) []BackEndLimit {
	m.forget(now)
	return slices.DeleteFunc(m.keeper.Limits(now), func(named BackEndLimit) bool {
		rank := m.tenure.Rank(named.BackEnd)
		return rank < 0 || rank > 0 && m.firstSilent(now, named.BackEnd) < settling
	})
}

// forget drops what was heard long ago.
func (m *Member) forget(now time.Duration) {
	for backEnd, heardAt := range m.firstHeardAt {
		if now-heardAt >= forgottenAfter {
			delete(m.firstHeardAt, backEnd)
		}
	}
}
