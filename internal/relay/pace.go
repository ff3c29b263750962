package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// pace is a placement.Pace that goroutines share.
type pace struct {
	mutex sync.Mutex
	pace  *placement.PrefillSpeed
	// fixed paces are not learnt.
	fixed bool
}

func newPace() *pace { return &pace{pace: placement.NewPrefillSpeed()} }

// observe notes the time per token of one reading at an engine, seen here or by another relay.
func (p *pace) observe(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.Observe(engine, perToken)
	}
}

// of returns the time per token at an engine.
func (p *pace) of(engine uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.PerToken(engine)
}

// learn takes the time per token of an engine from a relay that knows it better.
func (p *pace) learn(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.SetPerToken(engine, perToken)
	}
}

// observeShare notes how much of a prompt had to be read.
func (p *pace) observeShare(tokens, toRead int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.ObserveUncachedShare(tokens, toRead)
}

// usualShare is the part of prompts that usually has to be read.
func (p *pace) usualShare() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.UncachedShare()
}

// keep forgets engines that are no longer listed.
func (p *pace) keep(listed map[uint64]*backEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.Retain(func(engine uint64) bool { return listed[engine] != nil })
}
