package leaderwatch

import (
	"slices"
	"sync/atomic"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// controllers holds the addresses of the known controllers, and which of them gets the next request. It is
// used by one goroutine, except that seeds may be changed concurrently.
type controllers struct {
	// seeds are the controllers named in the settings.
	seeds atomic.Pointer[[]string]
	// addresses are the seeds at first, later the controllers in the last response and the seeds.
	addresses []string
	// nextIndex, modulo the number of addresses, is the index of the controller that gets the next request.
	nextIndex int
	// leader is the leader according to the last response; empty if unknown.
	leader string
}

func newControllers(seeds []string) *controllers {
	list := &controllers{addresses: seeds}
	list.seeds.Store(&seeds)
	return list
}

// next returns the controller that gets the next request.
func (c *controllers) next() string { return c.addresses[c.nextIndex%len(c.addresses)] }

// advanceAfterFailure moves on to another controller after one that did not answer.
func (c *controllers) advanceAfterFailure() {
	c.setAddresses(c.addresses)
	c.nextIndex++
	c.leader = ""
}

// setAddresses replaces the addresses by the received ones and the seeds.
func (c *controllers) setAddresses(received []string) {
	c.addresses = append(slices.Clone(received), *c.seeds.Load()...)
	slices.Sort(c.addresses)
	c.addresses = slices.Compact(c.addresses)
}

// applyResponse applies the addresses in a response. The next request goes to the leader, or to another
// controller if the sender knows no leader.
func (c *controllers) applyResponse(response *v1.WatchResponse, sender string) {
	if received := response.GetControllerAddresses(); len(received) > 0 {
		c.setAddresses(received)
	}
	leader := response.GetLeaderAddress()
	if !response.GetBehind() {
		leader = sender
	}
	c.leader = leader
	next := slices.Index(c.addresses, leader)
	if next < 0 || response.GetBehind() && leader == sender {
		c.nextIndex = max(slices.Index(c.addresses, sender), 0) + 1
		return
	}
	c.nextIndex = next
}
