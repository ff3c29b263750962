// Package peerhealth records which other relays answer queries, and how long their answers take.
package peerhealth

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/cell"
)

// Table records the response behavior of other relays. It is safe for concurrent use.
type Table struct {
	mutex  sync.Mutex
	health *cell.Health
	// onDistrust is called when a relay becomes distrusted, with the time for which its answer was awaited.
	onDistrust func(relay string, waited time.Duration)
}

// New returns an empty table.
func New(onDistrust func(relay string, waited time.Duration)) *Table {
	return &Table{health: cell.NewHealth(), onDistrust: onDistrust}
}

// Trusted reports whether queries may be sent to a relay.
func (t *Table) Trusted(now time.Duration, relay string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.health.IsTrusted(now, relay)
}

// Timeout returns how long to wait for an answer of a relay.
func (t *Table) Timeout() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.health.Timeout()
}

// RecordQuery records whether a relay answered a query in time, and how long the answer took or was awaited.
func (t *Table) RecordQuery(now time.Duration, relay string, answered bool, duration time.Duration) {
	t.mutex.Lock()
	isDistrusted := false
	if answered {
		t.health.RecordAnswer(relay, duration)
	} else {
		isDistrusted = t.health.RecordTimeout(now, relay)
	}
	t.mutex.Unlock()
	if isDistrusted {
		t.onDistrust(relay, duration)
	}
}

// Retain removes the relays that are not listed.
func (t *Table) Retain(listed map[string]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.health.Retain(func(relay string) bool { return listed[relay] })
}
