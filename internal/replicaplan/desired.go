package replicaplan

import "maps"

// ListedCounts is what the list shows of a group.
type ListedCounts struct {
	// Ready replicas serve, Changing ones will soon, Leaving ones are on their way out.
	Ready, Changing, Leaving int
}

// staying counts those that are there and do not leave.
func (l ListedCounts) staying() int { return l.Ready + l.Changing }

// Desired are the numbers of replicas wanted of one service.
type Desired struct {
	// Base is how many replicas the operator began with, of both kinds; 0 before the first decision.
	Base int
	// Counts are the replicas wanted of each group. Groups that are not named are left as they are.
	Counts map[Group]int
}

// of returns how many replicas of a group are wanted: those that are there where none were ordered.
func (d Desired) of(group Group, listed ListedCounts) int {
	if count, named := d.Counts[group]; named {
		return count
	}
	return listed.staying()
}

// Equal reports whether both ask for the same.
func (d Desired) Equal(other Desired) bool {
	return d.Base == other.Base && maps.Equal(d.Counts, other.Counts)
}
