package fleetlimit

import (
	"math"
	"slices"
	"time"
)

// neverReceived is the silence of a process from which no notice was ever received.
const neverReceived = time.Duration(math.MaxInt64)

// Member is one of the processes that own the limits of back ends. It is not safe for concurrent use.
type Member struct {
	ownership *Ownership
	counters  *LimitCounters
	// lastNoticeAt is the time of the last notice from a process that ranks before this one, by back end.
	lastNoticeAt map[uint64]time.Duration
}

// NewMember returns the Member with this address.
func NewMember(self string) *Member {
	return &Member{ownership: NewOwnership(self), counters: NewLimitCounters(), lastNoticeAt: map[uint64]time.Duration{}}
}

// SetProcesses applies a new list of the processes' addresses.
func (m *Member) SetProcesses(now time.Duration, processes []string) {
	m.ownership.SetProcesses(now, processes)
}

// OwnersOf returns the addresses of the owner of a back end's limit and its deputies, in the order in which to query them.
func (m *Member) OwnersOf(backEnd uint64) []string { return m.ownership.OwnersOf(backEnd) }

// HandleRequest grants or denies a permit request of another process. listIsFresh is true if the process list is
// recent. The result is false if this process is neither owner nor deputy: another one must be queried.
func (m *Member) HandleRequest(now time.Duration, request PermitRequest, listIsFresh bool, draw float64) (PermitResponse, bool) {
	fraction := m.fraction(now, request.BackEnd, listIsFresh)
	if fraction == 0 {
		return PermitResponse{}, false
	}
	return m.counters.HandleRequest(now, request, fraction, draw), true
}

// fraction returns the fraction of the back end's limit that this process may grant; 0 if it is neither owner nor deputy.
// listIsFresh is true if the list of processes is recent: otherwise the process may have missed a newer list, and an
// owner grants at most cutOffFraction.
func (m *Member) fraction(now time.Duration, backEnd uint64, listIsFresh bool) float64 {
	return m.ownership.Fraction(now, backEnd, MembershipView{ListIsFresh: listIsFresh, FirstOwnerSilence: m.firstOwnerSilence(now, backEnd)})
}

// firstOwnerSilence returns for how long no notice was received from a process that ranks before this one. For a deputy
// it is at most the time for which permits have been requested from the deputy. For any other process it is
// neverReceived if no notice was received.
func (m *Member) firstOwnerSilence(now time.Duration, backEnd uint64) time.Duration {
	noticeAt, received := m.lastNoticeAt[backEnd]
	switch {
	case m.ownership.Rank(backEnd) > 0:
		silence := m.counters.requestedFor(now, backEnd)
		if received {
			silence = min(silence, now-noticeAt)
		}
		return silence
	case received:
		return now - noticeAt
	default:
		return neverReceived
	}
}

// ApplyNotice applies the limit of a back end from a notice of another process; sender is its address.
func (m *Member) ApplyNotice(now time.Duration, sender string, notice BackEndLimit) {
	if m.ownership.Outranks(notice.BackEnd, sender) {
		m.lastNoticeAt[notice.BackEnd] = now
	}
	m.SetLimit(now, notice)
}

// SetLimit records the limit that a back end has named to this process or to another one. It reports whether the limit
// changed; always false if this process is neither owner nor deputy.
func (m *Member) SetLimit(now time.Duration, limit BackEndLimit) (changed bool) {
	if m.ownership.Rank(limit.BackEnd) < 0 {
		return false
	}
	return m.counters.SetLimit(now, limit.BackEnd, limit.Limit)
}

// Notices returns the limits to announce to the other processes: those for which this process is or acts as the owner.
func (m *Member) Notices(now time.Duration) []BackEndLimit {
	m.removeStale(now)
	return slices.DeleteFunc(m.counters.Limits(now), func(limit BackEndLimit) bool {
		rank := m.ownership.Rank(limit.BackEnd)
		return rank < 0 || rank > 0 && m.firstOwnerSilence(now, limit.BackEnd) < settlingTime
	})
}

// removeStale deletes the times of old notices.
func (m *Member) removeStale(now time.Duration) {
	for backEnd, noticeAt := range m.lastNoticeAt {
		if now-noticeAt >= idleRetention {
			delete(m.lastNoticeAt, backEnd)
		}
	}
}
