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
}

// MaxLifetime bounds the time for which a record is kept.
const MaxLifetime = 2 * time.Minute

// LifetimeOf returns how long a stream can last with the attempts of its client, given the longest time of one attempt.
func LifetimeOf(attempt time.Duration) time.Duration {
	const attempts = 2
	return min(attempts*attempt, MaxLifetime)
}
