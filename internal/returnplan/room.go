package returnplan

import (
	"math"
	"time"
)

const (
	// maximumPerSecond and maximumBacklog bound the values of a Room, so that sums and products of them fit an int.
	maximumPerSecond = 1e6
	maximumBacklog   = 1_000_000_000
)

// Room is the expected capacity of the service.
type Room struct {
	// PerSecond is how many slots come free per second.
	PerSecond float64
	// Backlog is the number of queued requests that get their slots before any return.
	Backlog int
}

// bounded returns the Room with its values in the ranges that the plan computes with.
func (r Room) bounded() Room {
	if !(r.PerSecond > 0) { // also true for NaN
		r.PerSecond = 0
	}
	return Room{PerSecond: min(r.PerSecond, maximumPerSecond), Backlog: min(max(r.Backlog, 0), maximumBacklog)}
}

// countBetween returns how many events of a constant rate fall between two times. Counts of adjacent intervals add up
// to the count of the whole, so that also rates below one per span are met over time.
func countBetween(perSecond float64, from, to time.Duration) int {
	if to <= from {
		return 0
	}
	return int(math.Floor(perSecond*to.Seconds()) - math.Floor(perSecond*from.Seconds()))
}
