// Package peerhealth keeps which other relays answer what they are asked, and how long an answer takes.
package peerhealth

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/cell"
)

// Table is how other relays answer. It is safe for concurrent use.
type Table struct {
	mutex  sync.Mutex
	health *cell.Health
	// doubted is called when a relay is passed over from now on, with how long its answer was awaited.
	doubted func(relay string, waited time.Duration)
}

// New returns a table that has seen nothing.
func New(doubted func(relay string, waited time.Duration)) *Table {
	return &Table{health: cell.NewHealth(), doubted: doubted}
}

// Trusted reports whether a relay is not passed over.
func (t *Table) Trusted(now time.Duration, relay string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.health.IsTrusted(now, relay)
}

// Timeout is how long an answer is awaited now.
func (t *Table) Timeout() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.health.Timeout()
}

// Judge notes whether a relay has answered in time.
func (t *Table) Judge(now time.Duration, relay string, answered bool, took time.Duration) {
	t.mutex.Lock()
	isDoubted := false
	if answered {
		t.health.RecordAnswer(relay, took)
	} else {
		isDoubted = t.health.RecordTimeout(now, relay)
	}
	t.mutex.Unlock()
	if isDoubted {
		t.doubted(relay, took)
	}
}

// Keep forgets the relays that are not listed.
func (t *Table) Keep(listed map[string]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.health.Retain(func(relay string) bool { return listed[relay] })
}
