package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// prefillCacheShare and decodeCacheShare are the fractions of an engine's KV cache that are assumed to
	// hold prefix blocks. Running requests need the rest, which is more on decode engines.
	prefillCacheShare = 0.95
	decodeCacheShare  = 0.75
	// maxCachedBlocks bounds the prefix blocks tracked per engine.
	maxCachedBlocks = 4096
	// AssumeReadyAfter is the age at which a pending block counts as ready without a report: by then its
	// prefill has finished, and KV cache that was held for another engine and never fetched has expired.
	AssumeReadyAfter = 5 * time.Second
)

// cachedBlock is a prefix block that an engine was asked to prefill.
type cachedBlock struct {
	tokens int
	// requestedAt is when the engine was asked to prefill the block.
	requestedAt time.Duration
	// ready is true once the engine has prefilled the block and caches it for any request. No other request
	// can use it before that: neither during the prefill, nor while it is held for the transfer to the
	// engine that it was prefilled for.
	ready bool
}

func (b cachedBlock) isReady(now time.Duration) bool {
	return b.ready || now-b.requestedAt > AssumeReadyAfter
}

// PrefixCache is an estimate of one engine's prefix cache, derived from the requests sent to it.
type PrefixCache struct {
	capacity int
	tokens   int
	blocks   *simplelru.LRU[BlockHash, cachedBlock]
}

// PrefixCacheCapacity returns the size of an engine's prefix cache in tokens, given its stage and its KV cache in tokens.
func PrefixCacheCapacity(stage serving.Stage, memory int) int {
	if stage == serving.StageDecode {
		return int(decodeCacheShare * float64(memory))
	}
	return int(prefillCacheShare * float64(memory))
}

// NewPrefixCache returns an empty prefix cache with the given capacity in tokens.
func NewPrefixCache(capacity int) *PrefixCache {
	cache := &PrefixCache{capacity: capacity}
	cache.blocks, _ = simplelru.NewLRU(maxCachedBlocks, func(_ BlockHash, block cachedBlock) { cache.tokens -= block.tokens }) // the size is positive
	return cache
}

// CachedPrefix is the part of a prompt's prefix that an engine has cached, in tokens.
type CachedPrefix struct {
	// Total counts the blocks that are cached or being prefilled, Pending those of them that no other
	// request can use yet, and Ready those before the first pending block.
	Total, Pending, Ready int
}

// Lookup returns how much of the prompt's prefix the engine has cached.
func (c *PrefixCache) Lookup(blocks []PrefixBlock, now time.Duration) CachedPrefix {
	var match CachedPrefix
	for _, block := range blocks {
		entry, cached := c.blocks.Peek(block.Hash)
		if !cached {
			break
		}
		match.Total += block.Tokens
		switch {
		case !entry.isReady(now):
			match.Pending += block.Tokens
		case match.Pending == 0:
			match.Ready += block.Tokens
		}
	}
	return match
}

// AddPending records blocks that the engine was asked to prefill and returns those that were not cached.
// The least recently used blocks are evicted.
func (c *PrefixCache) AddPending(now time.Duration, blocks []PrefixBlock) (added []PrefixBlock) {
	for _, block := range blocks {
		if _, cached := c.blocks.Get(block.Hash); cached {
			continue
		}
		c.insert(block, cachedBlock{tokens: block.Tokens, requestedAt: now})
		added = append(added, block)
	}
	c.evictOverCapacity()
	return added
}

// AddReady records blocks that the engine has prefilled and caches for any request.
func (c *PrefixCache) AddReady(now time.Duration, blocks []PrefixBlock) {
	for _, block := range blocks {
		if entry, cached := c.blocks.Peek(block.Hash); !cached || !entry.ready {
			c.insert(block, cachedBlock{tokens: block.Tokens, requestedAt: now, ready: true})
		}
	}
	c.evictOverCapacity()
}

// RemovePending removes blocks whose prefill was cancelled.
func (c *PrefixCache) RemovePending(hashes []BlockHash) {
	for _, hash := range hashes {
		if entry, cached := c.blocks.Peek(hash); cached && !entry.ready {
			c.blocks.Remove(hash)
		}
	}
}

// Resize sets the capacity after a stage change and evicts blocks beyond it.
func (c *PrefixCache) Resize(capacity int) {
	c.capacity = capacity
	c.evictOverCapacity()
}

// Capacity returns the size of the prefix cache in tokens.
func (c *PrefixCache) Capacity() int { return c.capacity }

// insert adds a block or replaces its entry.
func (c *PrefixCache) insert(block PrefixBlock, entry cachedBlock) {
	c.blocks.Remove(block.Hash)
	c.blocks.Add(block.Hash, entry)
	c.tokens += entry.tokens
}

// evictOverCapacity evicts the least recently used blocks until the rest fits the capacity.
func (c *PrefixCache) evictOverCapacity() {
	for c.tokens > c.capacity {
		if _, _, removed := c.blocks.RemoveOldest(); !removed {
			return
		}
	}
}
