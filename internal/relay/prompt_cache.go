package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// prefixCache is a placement.Cache that goroutines share and may wait for.
type prefixCache struct {
	mutex sync.Mutex
	cache *placement.PrefixCache
	// changed is closed and replaced when a part is kept or dropped.
	changed chan struct{}
}

// newPrefixCache returns the cache of an engine that keeps so many tokens.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{cache: placement.NewPrefixCache(capacity), changed: make(chan struct{})}
}

// lookup returns how much of the prompt's beginning the engine has.
func (c *prefixCache) lookup(wanted []placement.PrefixBlock, now time.Duration) placement.CachedPrefix {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.Lookup(wanted, now)
}

// beginPrefill notes parts that the engine is sent to read, and returns those that it did not hold.
func (c *prefixCache) beginPrefill(now time.Duration, blocks []placement.PrefixBlock) (newBlocks []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.AddPending(now, blocks)
}

// markCached notes parts that the engine has read and keeps for any request.
func (c *prefixCache) markCached(now time.Duration, blocks []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.AddReady(now, blocks)
	c.notifyChanged()
}

// dropBlocks forgets parts whose reading was given up.
func (c *prefixCache) dropBlocks(hashes []placement.BlockHash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.RemovePending(hashes)
	c.notifyChanged()
}

// clear forgets everything: another start of the engine holds nothing.
func (c *prefixCache) clear(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache = placement.NewPrefixCache(capacity)
	c.notifyChanged()
}

// resize takes the capacity of another stage.
func (c *prefixCache) resize(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.Resize(capacity)
}

// changes returns a channel that is closed when a part is kept or dropped next.
func (c *prefixCache) changes() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// notifyChanged wakes those that wait for a change. The mutex is held.
func (c *prefixCache) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}
