package fleetlimit

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/cell"
)

const (
	// MaximumOwners is how many processes are ranked for the limit of a back end: the owner and its deputies in order.
	MaximumOwners = 3
	// settlingTime is how long a process must have ranked first before it grants the whole limit. Within this time the
	// previous owner receives the change, and the permits that it granted leave the back end's window.
	settlingTime = windowSpan
)

// Fractions of a limit that a process grants, depending on what it knows about its rank. Back ends tolerate one and a
// half times their limit plus five requests. Two processes that grant at the same time never exceed that tolerance
// together: an owner with a stale list and a new one, or a settled owner and a deputy that does not receive its notices.
const (
	// FullFraction is granted by a process that has ranked first for settlingTime, or that is the only possible owner.
	FullFraction = 1.0
	// cutOffFraction is granted by an owner that may have missed a newer list, and by the first deputy if it has not
	// received notices from the owner for settlingTime: the owner has then most likely failed.
	cutOffFraction = 0.5
	// newOwnerFraction is the fraction of a back end's limit that each of these processes grants:
	//   - an owner that has ranked first for less than settlingTime: the previous owner may still grant permits;
	//   - an owner that received a notice within settlingTime from a process that outranks the owner (see Outranks);
	//   - the first deputy, unless cutOffFraction applies to it.
	newOwnerFraction = 0.25
	// lastDeputyFraction is granted by all other deputies.
	lastDeputyFraction = 0.125
)

// processList is a list of processes and the time since which it applies.
type processList struct {
	since     time.Duration
	processes []string
}

// backEndRank is the rank of this process for one back end under the current list.
type backEndRank struct {
	// owners are the owner of the limit and its deputies, in order.
	owners []string
	// rank is the index of this process in owners, -1 for none; firstSince is the time since which it ranks first.
	rank       int
	firstSince time.Duration
}

// Ownership determines which process owns the limit of a back end, and which fraction of that limit this process may
// grant. The owner grants the permits for the back end; deputies grant a fraction of the limit while the owner does
// not answer. It is not safe for concurrent use.
type Ownership struct {
	self string
	// lists are the lists of the last settlingTime, oldest first, and the one before them.
	lists []processList
	// ranks caches the ranks under the current list, by back end.
	ranks map[uint64]backEndRank
}

// maximumRanks limits the cached ranks of back ends. Evicted ranks are computed again when needed.
const maximumRanks = 4096

// NewOwnership returns the Ownership of the process with this address, without a process list.
func NewOwnership(self string) *Ownership {
	return &Ownership{self: self, ranks: map[uint64]backEndRank{}}
}

// SetProcesses applies a new list of processes.
func (o *Ownership) SetProcesses(now time.Duration, processes []string) {
	o.lists = append(o.lists, processList{since: now, processes: slices.Clone(processes)})
	for len(o.lists) > 1 && now-o.lists[1].since >= settlingTime {
		o.lists = o.lists[1:]
	}
	clear(o.ranks)
}

// OwnersOf returns the owner of a back end's limit and its deputies, in order.
func (o *Ownership) OwnersOf(backEnd uint64) []string { return o.rankFor(backEnd).owners }

// Rank returns the rank of this process for a back end, 0 for the owner; -1 if it is neither owner nor deputy.
func (o *Ownership) Rank(backEnd uint64) int { return o.rankFor(backEnd).rank }

// rankFor returns the rank of this process for a back end, from the cache if possible.
func (o *Ownership) rankFor(backEnd uint64) backEndRank {
	if len(o.lists) == 0 {
		return backEndRank{rank: -1}
	}
	if cached, isCached := o.ranks[backEnd]; isCached {
		return cached
	}
	if len(o.ranks) >= maximumRanks {
		clear(o.ranks)
	}
	newest := o.lists[len(o.lists)-1]
	computed := backEndRank{owners: cell.Owners(backEnd, newest.processes, MaximumOwners), firstSince: newest.since}
	computed.rank = slices.Index(computed.owners, o.self)
	for index := len(o.lists) - 1; index >= 0; index-- {
		if first := cell.Owners(backEnd, o.lists[index].processes, 1); len(first) == 0 || first[0] != o.self {
			break
		}
		computed.firstSince = o.lists[index].since
	}
	o.ranks[backEnd] = computed
	return computed
}

// Outranks reports whether another process ranks before this one for a back end, regardless of the process lists.
func (o *Ownership) Outranks(backEnd uint64, other string) bool {
	return cell.Owners(backEnd, []string{o.self, other}, 1)[0] == other && other != o.self
}

// MembershipView is what a process knows about the other processes when it determines its fraction.
type MembershipView struct {
	// ListIsFresh is true if the process list is recent.
	ListIsFresh bool
	// FirstOwnerSilence is how long the process has received no notice from a higher-ranking one while it received
	// permit requests.
	FirstOwnerSilence time.Duration
}

// Fraction returns the fraction of a back end's limit that this process may grant now; 0 if it is neither owner nor
// deputy.
func (o *Ownership) Fraction(now time.Duration, backEnd uint64, view MembershipView) float64 {
	current := o.rankFor(backEnd)
	firstOwnerIsActive := view.FirstOwnerSilence < settlingTime
	switch {
	case current.rank < 0:
		return 0
	case current.rank > 1:
		return lastDeputyFraction
	case current.rank == 1 && !firstOwnerIsActive:
		return cutOffFraction
	case current.rank == 1 || firstOwnerIsActive || now-current.firstSince < settlingTime:
		return newOwnerFraction
	case !view.ListIsFresh:
		return cutOffFraction
	default:
		return FullFraction
	}
}
