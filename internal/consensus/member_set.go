package consensus

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// memberSet is the effective membership: the last one in the log, committed or not.
type memberSet struct {
	membership *v1.Membership
	byID       map[string]*v1.Member
	voterIDs   []string
}

// newMemberSet indexes a membership.
func newMemberSet(membership *v1.Membership) memberSet {
	set := memberSet{membership: membership, byID: make(map[string]*v1.Member, len(membership.GetMembers()))}
	for _, member := range membership.GetMembers() {
		set.byID[member.GetId()] = member
		if !member.GetLearner() {
			set.voterIDs = append(set.voterIDs, member.GetId())
		}
	}
	slices.Sort(set.voterIDs)
	return set
}

// empty reports whether this member has no membership yet.
func (s memberSet) empty() bool { return len(s.byID) == 0 }

// voters returns the identities of the voters, sorted.
func (s memberSet) voters() []string { return s.voterIDs }

// isVoter reports whether the member is a voter.
func (s memberSet) isVoter(id string) bool {
	member, known := s.byID[id]
	return known && !member.GetLearner()
}

// hasQuorum reports whether more than half of the voters satisfy the predicate.
func (s memberSet) hasQuorum(satisfied func(id string) bool) bool {
	count := 0
	for _, id := range s.voterIDs {
		if satisfied(id) {
			count++
		}
	}
	return count > len(s.voterIDs)/2
}

// ids returns the identities of all members, sorted.
func (s memberSet) ids() []string {
	ids := make([]string, 0, len(s.byID))
	for id := range s.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// with returns the membership with the member added or replaced.
func (s memberSet) with(member *v1.Member) *v1.Membership {
	changed := s.without(member.GetId())
	changed.Members = append(changed.Members, member)
	sortMembers(changed)
	return changed
}

// without returns the membership without the member.
func (s memberSet) without(id string) *v1.Membership {
	changed := proto.CloneOf(s.membership)
	if changed == nil {
		changed = &v1.Membership{}
	}
	changed.Members = slices.DeleteFunc(changed.Members, func(member *v1.Member) bool { return member.GetId() == id })
	return changed
}

// sortMembers sorts members by name and identity, so that equal sets have equal encodings.
func sortMembers(membership *v1.Membership) {
	slices.SortFunc(membership.Members, func(a, b *v1.Member) int {
		if order := strings.Compare(a.GetName(), b.GetName()); order != 0 {
			return order
		}
		return strings.Compare(a.GetId(), b.GetId())
	})
}

// voterChanges counts the voters of s that are not voters of other, and those of other that are not voters of s.
func (s memberSet) voterChanges(other memberSet) int {
	changes := 0
	for _, id := range s.voterIDs {
		if !other.isVoter(id) {
			changes++
		}
	}
	for _, id := range other.voterIDs {
		if !s.isVoter(id) {
			changes++
		}
	}
	return changes
}
