package streamorigin

import "time"

// Record says where a stream began.
type Record struct {
	// Service is the hash of the service's name.
	Service uint64
	Version Version
	// Sequence orders the records of one stream, whose attempts before the first event may go to several back ends: the
	// highest holds.
	Sequence uint32
	// HasBegun is true if the client has events of the stream, so that no later attempt replaces this record.
	HasBegun bool
}

// MaxLifetime bounds the time for which a record is kept.
const MaxLifetime = 2 * time.Minute

// LifetimeOf returns how long a stream can last with the attempts of its client, given the longest time of one attempt.
func LifetimeOf(attempt time.Duration) time.Duration {
	const attempts = 2
	return min(attempts*attempt, MaxLifetime)
}

// isAfter reports whether the record was made after another one of the same stream.
func (r Record) isAfter(other Record) bool {
	return r.Sequence > other.Sequence || r.Sequence == other.Sequence && r.HasBegun && !other.HasBegun
}
