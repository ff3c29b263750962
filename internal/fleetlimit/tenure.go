package fleetlimit

import (
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/cell"
)

const (
	// MaxOwners is how many processes are ranked for a back end: the one that keeps its count, and those that stand in
	// for it in their order.
	MaxOwners = 3
	// settling is how long a process must have ranked first before it grants a whole limit. Within it the one before has
	// heard of the change, and what that one granted leaves the window of the back end.
	settling = windowSpan
)

// Parts of a limit that a process grants, by what it knows of its rank. Back ends tolerate one and a half times their
// limit and five requests more. The first one and the one that stands in for it are never above that together:
// one stale and one new first process, or a settled one and a stand-in that does not hear of it.
const (
	// FullFraction is granted by a process that has ranked first for a while, or that alone can keep counts.
	FullFraction = 1.0
	// cutOffPart is granted where it may have missed a newer list, or where a stand-in has heard nothing of the first
	// process for a while: the first one is then most likely gone.
	cutOffPart = 0.5
	// newPart is granted by one that has just come to rank first, while the one before may still grant, and by the
	// first stand-in.
	newPart = 0.25
	// lastPart is granted by further stand-ins.
	lastPart = 0.125
)

// ranking is a list of processes from a time on.
type ranking struct {
	from      time.Duration
	processes []string
}

// standing is how this process stands for one back end by the present lists.
type standing struct {
	// keepers are the processes that keep the count, the first one before its stand-ins.
	keepers []string
	// rank is this process's among them, -1 for none; firstSince is since when it ranks first.
	rank       int
	firstSince time.Duration
}

// Ownership tells what part of a back end's limit this process may grant. It is not safe for concurrent use.
type Ownership struct {
	self string
	// rankings are the lists that were in force in the last settling time, the oldest first, and the one before.
	rankings []ranking
	// standings are those for the present lists, by back end.
	standings map[uint64]standing
}

// mostStandings bounds the standings that are kept; they are worked out again at need.
const mostStandings = 4096

// NewOwnership returns the tenure of a process that knows of no list.
func NewOwnership(self string) *Ownership {
	return &Ownership{self: self, standings: map[uint64]standing{}}
}

// SetProcesses takes another list of processes.
func (t *Ownership) SetProcesses(now time.Duration, processes []string) {
	t.rankings = append(t.rankings, ranking{from: now, processes: slices.Clone(processes)})
	for len(t.rankings) > 1 && now-t.rankings[1].from >= settling {
		t.rankings = t.rankings[1:]
	}
	clear(t.standings)
}

// OwnersOf returns the processes that keep the count of a back end, the first one before its stand-ins.
func (t *Ownership) OwnersOf(backEnd uint64) []string { return t.standing(backEnd).keepers }

// Rank is this process's rank among the keepers of a back end, 0 for the first; -1 for none.
func (t *Ownership) Rank(backEnd uint64) int { return t.standing(backEnd).rank }

// standing returns how this process stands for a back end.
func (t *Ownership) standing(backEnd uint64) standing {
	if len(t.rankings) == 0 {
		return standing{rank: -1}
	}
	if known, is := t.standings[backEnd]; is {
		return known
	}
	if len(t.standings) >= mostStandings {
		clear(t.standings)
	}
	newest := t.rankings[len(t.rankings)-1]
	known := standing{keepers: cell.Owners(backEnd, newest.processes, MaxOwners), firstSince: newest.from}
	known.rank = slices.Index(known.keepers, t.self)
	for index := len(t.rankings) - 1; index >= 0; index-- {
		if first := cell.Owners(backEnd, t.rankings[index].processes, 1); len(first) == 0 || first[0] != t.self {
			break
		}
		known.firstSince = t.rankings[index].from
	}
	t.standings[backEnd] = known
	return known
}

// Outranks reports whether another process ranks before this one for a back end, whatever their lists say.
func (t *Ownership) Outranks(backEnd uint64, other string) bool {
	return cell.Owners(backEnd, []string{t.self, other}, 1)[0] == other && other != t.self
}

// MembershipView are what a process knows of its own standing.
type MembershipView struct {
	// ListIsFresh tells that its list of processes is not old.
	ListIsFresh bool
	// FirstOwnerSilence is how long it has heard nothing of a process that ranks before it while it was asked for permits.
	FirstOwnerSilence time.Duration
}

// Fraction is the part of a back end's limit that this process may grant now; 0 for a process that does not keep its
// count.
func (t *Ownership) Fraction(now time.Duration, backEnd uint64, known MembershipView) float64 {
	stands := t.standing(backEnd)
	heardOfFirst := known.FirstOwnerSilence < settling
	switch {
	case stands.rank < 0:
		return 0
	case stands.rank > 1:
		return lastPart
	case stands.rank == 1 && !heardOfFirst:
		return cutOffPart
	case stands.rank == 1 || heardOfFirst || now-stands.firstSince < settling:
		return newPart
	case !known.ListIsFresh:
		return cutOffPart
	default:
		return FullFraction
	}
}
