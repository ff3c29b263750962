package leaderwatch

import (
	"slices"
	"sync/atomic"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// controllers are the addresses of those that are known, and which of them is asked next. One goroutine
// uses them; the seeds may change meanwhile.
type controllers struct {
	// seeds are the controllers that the settings name.
	seeds atomic.Pointer[[]string]
	// known are the seeds at first, then what controllers tell and the seeds.
	known []string
	// target is the index of the one that is asked next; it may lie behind the end.
	target int
	// leader is the one that leads, as far as one that does not has told; empty for none.
	leader string
}

func newControllers(seeds []string) *controllers {
	made := &controllers{known: seeds}
	made.seeds.Store(&seeds)
	return made
}

// next is the controller that is asked next.
func (c *controllers) next() string { return c.known[c.target%len(c.known)] }

// failed goes on to another controller after one that did not answer.
func (c *controllers) failed() {
	c.set(c.known)
	c.target++
	c.leader = ""
}

// set takes the controllers that one told, and keeps the seeds beside them.
func (c *controllers) set(told []string) {
	c.known = append(slices.Clone(told), *c.seeds.Load()...)
	slices.Sort(c.known)
	c.known = slices.Compact(c.known)
}

// learn takes the addresses that a controller tells. The leader is asked next, or another controller where
// that one knows none.
func (c *controllers) learn(response *v1.WatchResponse, asked string) {
	if told := response.GetControllerAddresses(); len(told) > 0 {
		c.set(told)
	}
	leader := response.GetLeaderAddress()
	if !response.GetBehind() {
		leader = asked
	}
	c.leader = leader
	next := slices.Index(c.known, leader)
	if next < 0 || response.GetBehind() && leader == asked {
		c.target = max(slices.Index(c.known, asked), 0) + 1
		return
	}
	c.target = next
}
