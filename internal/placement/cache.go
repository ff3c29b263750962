package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// prefillCacheShare and decodeCacheShare are the parts of an engine's memory that are taken to
	// hold parts of prompts; what runs there needs the rest, which is more where streams run.
	prefillCacheShare = 0.95
	decodeCacheShare  = 0.75
	// maximumCachedParts bounds the parts remembered of one engine.
	maximumCachedParts = 4096
	// AssumeReadyAfter is the age at which a part counts as kept although nobody has told so: by then
	// it was read, and memory that nobody took has lapsed.
	AssumeReadyAfter = 5 * time.Second
)

// cachedPart is one part that an engine was sent to read.
type cachedPart struct {
	tokens int
	// since is when the engine was asked to read it.
	since time.Duration
	// kept tells that the engine has read it and keeps it for any request. While it is being
	// read, and until the memory that was read for another engine is taken from there, no
	// other request can use it.
	kept bool
}

func (p cachedPart) isKept(now time.Duration) bool { return p.kept || now-p.since > AssumeReadyAfter }

// PrefixCache is what one engine most likely has in its memory of prompts, from what was sent to it.
type PrefixCache struct {
	capacity int
	tokens   int
	parts    *simplelru.LRU[BlockHash, cachedPart]
}

// PrefixCacheCapacity is how many tokens of prompts an engine of a stage keeps in its memory.
func PrefixCacheCapacity(stage serving.Stage, memory int) int {
	if stage == serving.StageDecode {
		return int(decodeCacheShare * float64(memory))
	}
	return int(prefillCacheShare * float64(memory))
}

// NewPrefixCache returns the cache of an engine that keeps so many tokens.
func NewPrefixCache(capacity int) *PrefixCache {
	cache := &PrefixCache{capacity: capacity}
	cache.parts, _ = simplelru.NewLRU(maximumCachedParts, func(_ BlockHash, part cachedPart) { cache.tokens -= part.tokens }) // the size is positive
	return cache
}

// CachedPrefix is how much an engine has of a prompt's beginning, in tokens.
type CachedPrefix struct {
	// Total is what it has or is reading, Pending what of that no other request can use yet,
	// and Ready what stands before the first such part.
	Total, Pending, Ready int
}

// Lookup returns how much of the prompt's beginning the engine has.
func (c *PrefixCache) Lookup(wanted []PrefixBlock, now time.Duration) CachedPrefix {
	var found CachedPrefix
	for _, prefix := range wanted {
		part, held := c.parts.Peek(prefix.Hash)
		if !held {
			break
		}
		found.Total += prefix.Tokens
		switch {
		case !part.isKept(now):
			found.Pending += prefix.Tokens
		case found.Pending == 0:
			found.Ready += prefix.Tokens
		}
	}
	return found
}

// AddPending notes parts that the engine is sent to read, and returns those that it did not hold;
// the parts unused longest give way.
func (c *PrefixCache) AddPending(now time.Duration, read []PrefixBlock) (begun []PrefixBlock) {
	for _, prefix := range read {
		if _, held := c.parts.Get(prefix.Hash); held {
			continue
		}
		c.insert(prefix, cachedPart{tokens: prefix.Tokens, since: now})
		begun = append(begun, prefix)
	}
	c.makeRoom()
	return begun
}

// AddReady notes parts that the engine has read and keeps for any request.
func (c *PrefixCache) AddReady(now time.Duration, read []PrefixBlock) {
	for _, prefix := range read {
		if part, held := c.parts.Peek(prefix.Hash); !held || !part.kept {
			c.insert(prefix, cachedPart{tokens: prefix.Tokens, since: now, kept: true})
		}
	}
	c.makeRoom()
}

// RemovePending forgets parts whose reading was given up.
func (c *PrefixCache) RemovePending(given []BlockHash) {
	for _, hash := range given {
		if part, held := c.parts.Peek(hash); held && !part.kept {
			c.parts.Remove(hash)
		}
	}
}

// Resize takes the capacity of another stage.
func (c *PrefixCache) Resize(capacity int) {
	c.capacity = capacity
	c.makeRoom()
}

// Capacity is how many tokens of prompts the engine keeps.
func (c *PrefixCache) Capacity() int { return c.capacity }

// insert puts a part in place of what was known of it.
func (c *PrefixCache) insert(prefix PrefixBlock, part cachedPart) {
	c.parts.Remove(prefix.Hash)
	c.parts.Add(prefix.Hash, part)
	c.tokens += part.tokens
}

// makeRoom forgets the parts unused longest.
func (c *PrefixCache) makeRoom() {
	for c.tokens > c.capacity {
		if _, _, removed := c.parts.RemoveOldest(); !removed {
			return
		}
	}
}
