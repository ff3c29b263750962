package replicaplan

import "maps"

// Listed is what the list shows of a group.
type Listed struct {
	// Ready replicas serve, Changing ones will soon, Leaving ones are on their way out.
	Ready, Changing, Leaving int
}

// staying counts those that are there and do not leave.
func (l Listed) staying() int { return l.Ready + l.Changing }

// Wishes are what is agreed on for one service.
type Wishes struct {
	// Base is how many replicas the operator began with, of both kinds; 0 before the first wishes.
	Base int
	// Counts are the replicas wanted of each group. Groups that are not named are left as they are.
	Counts map[Group]int
}

// of returns how many replicas of a group are wanted: those that are there where none were ordered.
func (w Wishes) of(group Group, listed Listed) int {
	if count, named := w.Counts[group]; named {
		return count
	}
	return listed.staying()
}

// Equal reports whether both ask for the same.
func (w Wishes) Equal(other Wishes) bool {
	return w.Base == other.Base && maps.Equal(w.Counts, other.Counts)
}
