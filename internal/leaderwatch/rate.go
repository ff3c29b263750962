package leaderwatch

import "time"

const (
	// minimumWait and MaximumWait bound how long a controller delays the answer to a watch without updates;
	// between them, the leader answers about watchesPerSecond watches a second for any number of nodes.
	minimumWait      = 400 * time.Millisecond
	MaximumWait      = time.Second
	watchesPerSecond = 300
	// responseSlack is how long after its wait a watch may be answered before another controller is tried.
	responseSlack = 300 * time.Millisecond
)

// switchesPerSecond is the number of nodes per second that switch to a new leader, so that the load does not
// cut the leader off from its peers.
const switchesPerSecond = 1000

// spreadTime returns the time over which the given number of nodes switches to a new leader.
func spreadTime(nodes int) time.Duration {
	return time.Duration(nodes) * time.Second / switchesPerSecond
}

// WaitFor returns how long a controller delays the answer to a watch without updates, for a number of nodes.
func WaitFor(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/watchesPerSecond, minimumWait), MaximumWait)
}

// ExtraWait returns by how much the wait for the given number of nodes exceeds the minimum wait.
func ExtraWait(nodes int) time.Duration { return WaitFor(nodes) - minimumWait }
