package replicaplan

import "maps"

// ListedCounts are the replicas of a group in the list.
type ListedCounts struct {
	// Ready replicas serve, Changing ones will serve soon, and Leaving ones are about to stop.
	Ready, Changing, Leaving int
}

// staying returns the number of replicas that are not leaving.
func (l ListedCounts) staying() int { return l.Ready + l.Changing }

// Desired is the number of replicas wanted for one service.
type Desired struct {
	// Base is the number of replicas of both kinds that the operator started with; 0 before the first decision.
	Base int
	// Counts are the replicas wanted in each group. Groups without an entry are left unchanged.
	Counts map[Group]int
}

// countOf returns how many replicas of a group are wanted. For a group without an entry this is the number of listed
// replicas that are not leaving.
func (d Desired) countOf(group Group, listed ListedCounts) int {
	if count, named := d.Counts[group]; named {
		return count
	}
	return listed.staying()
}

// Equal reports whether d and other want the same replicas.
func (d Desired) Equal(other Desired) bool {
	return d.Base == other.Base && maps.Equal(d.Counts, other.Counts)
}
