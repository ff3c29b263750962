// Package logring keeps the newest log entries in memory and dumps them when
// something fails: on an error entry (at a bounded rate), on SIGUSR1, on
// an operator's request or on a panic. It is the sink of a zerolog.Logger.
package logring

import (
	"sync"

	"github.com/rs/zerolog"
)

// ring holds the newest entries. It is safe for concurrent use.
type ring struct {
	mutex sync.Mutex
	// entries is a circular buffer; next is the index of the next entry.
	entries [][]byte
	next    int
	// appended counts all entries ever appended.
	appended uint64
}

func newRing(size int) *ring {
	return &ring{entries: make([][]byte, size)}
}

// append copies one entry into the ring and overwrites the oldest one when the ring is full.
func (r *ring) append(entry []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries[r.next] = append(r.entries[r.next][:0], entry...)
	r.next = (r.next + 1) % len(r.entries)
	r.appended++
}

// snapshot returns copies of the entries with numbers from after+1 on, oldest
// first, and the number of the newest entry. Entry numbers start at 1.
func (r *ring) snapshot(after uint64) (entries [][]byte, newest uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stored := min(r.appended, uint64(len(r.entries)))
	first := max(r.appended-stored, min(after, r.appended))
	for number := first; number < r.appended; number++ {
		entry := r.entries[number%uint64(len(r.entries))]
		entries = append(entries, append([]byte(nil), entry...))
	}
	return entries, r.appended
}

// Sink receives zerolog's entries. It is safe for concurrent use.
type Sink struct {
	ring   *ring
	dumper *dumper
}

// Write stores one entry without a level.
func (s *Sink) Write(entry []byte) (int, error) {
	s.ring.append(entry)
	return len(entry), nil
}

// WriteLevel stores one entry and requests a dump when its level is error or higher.
func (s *Sink) WriteLevel(level zerolog.Level, entry []byte) (int, error) {
	s.ring.append(entry)
	if level >= zerolog.ErrorLevel && level <= zerolog.PanicLevel {
		s.dumper.requestDump(causeError)
	}
	return len(entry), nil
}
