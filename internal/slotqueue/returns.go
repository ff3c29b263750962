package slotqueue

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// Returns plans when refused clients return. The methods are those of returnplan.Plan that a Queue calls; whoever
// creates the Queue replicates the plan's changes.
type Returns interface {
	// Promise returns when a refused client is to return, and whether a slot is set aside for it then.
	Promise(now time.Duration, caller returnplan.Caller, capacity returnplan.Room, latest time.Duration, draw float64) (at time.Duration, promised bool)
	// Redeem redeems the promise of a client that returns at its time; due is false if it has none that is due.
	Redeem(now time.Duration, signature uint64) (promise returnplan.Promise, due bool)
	// DueUntil returns the number of promises that may be redeemed until a time.
	DueUntil(now, until time.Duration) int
	// Expire drops the promises that nobody redeemed in time.
	Expire(now time.Duration)
}

var _ Returns = (*returnplan.Plan)(nil)
