package enginemodel

import "github.com/hashicorp/golang-lru/v2/simplelru"

// prefixCache holds the prefix blocks of recent prompts and evicts the least recently
// used block first.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	events []CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	cache := &prefixCache{}
	if capacity <= 0 {
		return cache
	}
	blocks, err := simplelru.NewLRU[uint64, struct{}](capacity, func(block uint64, _ struct{}) {
		cache.events = append(cache.events, CacheEvent{Block: block})
	})
	if err == nil { // NewLRU fails only for a capacity of 0
		cache.blocks = blocks
	}
	return cache
}

// match returns the number of leading blocks that are in the cache and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	if c.blocks == nil {
		return 0
	}
	for index, block := range blocks {
		if _, found := c.blocks.Get(block); !found {
			return index
		}
	}
	return len(blocks)
}

// store adds the blocks from the last to the first, so that the beginning of a prefix
// is evicted after its end.
func (c *prefixCache) store(blocks []uint64) {
	if c.blocks == nil {
		return
	}
	for index := len(blocks) - 1; index >= 0; index-- {
		if !c.blocks.Contains(blocks[index]) {
			c.events = append(c.events, CacheEvent{Stored: true, Block: blocks[index]})
		}
		c.blocks.Add(blocks[index], struct{}{})
	}
}

func (c *prefixCache) takeEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}
