package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// prefillPace is a placement.Pace that goroutines share.
type prefillPace struct {
	mutex sync.Mutex
	pace  *placement.PrefillSpeed
	// fixed paces are not learnt.
	fixed bool
}

func newPrefillPace() *prefillPace { return &prefillPace{pace: placement.NewPrefillSpeed()} }

// observe notes the time per token of one reading at an engine, seen here or by another relay.
func (p *prefillPace) observe(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.Observe(engine, perToken)
	}
}

// timePerToken returns the time per token at an engine.
func (p *prefillPace) timePerToken(engine uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.PerToken(engine)
}

// adopt takes the time per token of an engine from a relay that knows it better.
func (p *prefillPace) adopt(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.SetPerToken(engine, perToken)
	}
}

// observeShare notes how much of a prompt had to be read.
func (p *prefillPace) observeShare(tokens, toRead int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.ObserveUncachedShare(tokens, toRead)
}

// usualShare is the part of prompts that usually has to be read.
func (p *prefillPace) usualShare() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.UncachedShare()
}

// retain forgets engines that are no longer listed.
func (p *prefillPace) retain(listed map[uint64]*backEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.Retain(func(engine uint64) bool { return listed[engine] != nil })
}
