package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// promptCache is a placement.Cache that goroutines share and may wait for.
type promptCache struct {
	mutex sync.Mutex
	cache *placement.PrefixCache
	// changed is closed and replaced when a part is kept or dropped.
	changed chan struct{}
}

// newPromptCache returns the cache of an engine that keeps so many tokens.
func newPromptCache(capacity int) *promptCache {
	return &promptCache{cache: placement.NewPrefixCache(capacity), changed: make(chan struct{})}
}

// cached returns how much of the prompt's beginning the engine has.
func (c *promptCache) cached(wanted []placement.PrefixBlock, now time.Duration) placement.CachedPrefix {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.Lookup(wanted, now)
}

// begin notes parts that the engine is sent to read, and returns those that it did not hold.
func (c *promptCache) begin(now time.Duration, read []placement.PrefixBlock) (begun []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.AddPending(now, read)
}

// keep notes parts that the engine has read and keeps for any request.
func (c *promptCache) keep(now time.Duration, read []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.AddReady(now, read)
	c.tellChange()
}

// drop forgets parts whose reading was given up.
func (c *promptCache) drop(given []placement.BlockHash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.RemovePending(given)
	c.tellChange()
}

// clear forgets everything: another start of the engine holds nothing.
func (c *promptCache) clear(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache = placement.NewPrefixCache(capacity)
	c.tellChange()
}

// resize takes the capacity of another stage.
func (c *promptCache) resize(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.Resize(capacity)
}

// changes returns a channel that is closed when a part is kept or dropped next.
func (c *promptCache) changes() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// tellChange wakes those that wait for a change. The mutex is held.
func (c *promptCache) tellChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}
