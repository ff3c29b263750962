package leaderwatch

import "time"

const (
	// shortestWait is how long a controller lets a watch wait for something new at least, LongestWait at
	// most: the leader answers about watchesPerSecond watches a second, however many nodes there are.
	shortestWait     = 400 * time.Millisecond
	MaximumWait      = time.Second
	watchesPerSecond = 300
	// slack is what a watch may take beyond its wait before another controller is asked.
	slack = 300 * time.Millisecond
)

// newLeaderAsks is how many nodes a second turn to a new leader, so that it is not kept from its peers at once.
const newLeaderAsks = 1000

// spreadFor is the time over which so many nodes turn to a new leader.
func spreadFor(nodes int) time.Duration { return time.Duration(nodes) * time.Second / newLeaderAsks }

// WaitFor is how long a controller lets a watch wait where there are so many nodes.
func WaitFor(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/watchesPerSecond, shortestWait), MaximumWait)
}

// ExtraWait is how much longer watches wait than where there are few nodes.
func ExtraWait(nodes int) time.Duration { return WaitFor(nodes) - shortestWait }
