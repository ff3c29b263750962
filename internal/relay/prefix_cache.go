package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// prefixCache models which prefix blocks an engine has cached. It is safe for concurrent use, and changes can be awaited.
type prefixCache struct {
	mutex sync.Mutex
	cache *placement.PrefixCache
	// changed is closed and replaced when a block is cached or dropped.
	changed chan struct{}
}

// newPrefixCache returns the cache model of an engine with the given capacity in tokens.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{cache: placement.NewPrefixCache(capacity), changed: make(chan struct{})}
}

// lookup returns how much of the prompt's prefix the engine has cached.
func (c *prefixCache) lookup(prompt []placement.PrefixBlock, now time.Duration) placement.CachedPrefix {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.Lookup(prompt, now)
}

// beginPrefill records blocks that the engine is sent to prefill, and returns those that it had not cached before.
func (c *prefixCache) beginPrefill(now time.Duration, blocks []placement.PrefixBlock) (newBlocks []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cache.AddPending(now, blocks)
}

// markCached records blocks that the engine has cached for any request.
func (c *prefixCache) markCached(now time.Duration, blocks []placement.PrefixBlock) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.AddReady(now, blocks)
	c.notifyChanged()
}

// dropBlocks removes blocks whose prefill was abandoned.
func (c *prefixCache) dropBlocks(hashes []placement.BlockHash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.RemovePending(hashes)
	c.notifyChanged()
}

// clear removes all blocks: the cache of a new incarnation of the engine is empty.
func (c *prefixCache) clear(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache = placement.NewPrefixCache(capacity)
	c.notifyChanged()
}

// resize sets the capacity, which depends on the engine's stage.
func (c *prefixCache) resize(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cache.Resize(capacity)
}

// changes returns a channel that is closed when the next block is cached or dropped.
func (c *prefixCache) changes() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// notifyChanged wakes all goroutines that wait for a change. The mutex is held.
func (c *prefixCache) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}
