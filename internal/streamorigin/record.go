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

// MaxLifetime bounds the time for which a record is kept, and the time for which a stream counts that is not recorded: see MayOutlast.
const MaxLifetime = 2 * time.Minute

// attemptsOfClient is how many attempts of its client a stream lasts.
const attemptsOfClient = 2

// LifetimeOf returns how long a stream can last with the attempts of its client, given the longest time of one attempt.
func LifetimeOf(attempt time.Duration) time.Duration {
	return min(attemptsOfClient*attempt, MaxLifetime)
}

// MayOutlast reports whether a stream can last for longer than MaxLifetime, so that nothing is known of the time in which it began.
func MayOutlast(attempt time.Duration) bool { return attemptsOfClient*attempt > MaxLifetime }
