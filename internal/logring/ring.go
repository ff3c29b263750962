// Package logring keeps the newest log entries in memory and writes them out when
// something goes wrong: at an error-level event (bounded in rate), on SIGUSR1, on
// an operator's request or on a panic. It is the sink of a zerolog.Logger.
package logring

import (
	"sync"

	"github.com/rs/zerolog"
)

// ring holds the newest entries. It is safe for concurrent use.
type ring struct {
	mutex sync.Mutex
	// entries is a circular buffer; next is where the coming entry goes.
	entries [][]byte
	next    int
	// appended counts all entries ever written.
	appended uint64
}

func newRing(size int) *ring {
	return &ring{entries: make([][]byte, size)}
}

// append copies one entry into the ring, over the oldest when it is full.
func (r *ring) append(entry []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries[r.next] = append(r.entries[r.next][:0], entry...)
	r.next = (r.next + 1) % len(r.entries)
	r.appended++
}

// snapshot returns copies of the entries with numbers from after+1 on, oldest
// first, and the number of the newest entry. Entries are numbered from 1.
func (r *ring) snapshot(after uint64) (entries [][]byte, newest uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := min(r.appended, uint64(len(r.entries)))
	first := max(r.appended-held, min(after, r.appended))
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

// WriteLevel stores one entry and asks for a dump when it is an error or worse.
func (s *Sink) WriteLevel(level zerolog.Level, entry []byte) (int, error) {
	s.ring.append(entry)
	if level >= zerolog.ErrorLevel && level <= zerolog.PanicLevel {
		s.dumper.request(causeError)
	}
	return len(entry), nil
}
