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
	// KeptAfter is the age at which a part counts as kept although nobody has told so: by then
	// it was read, and memory that nobody took has lapsed.
	KeptAfter = 5 * time.Second
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

func (p cachedPart) isKept(now time.Duration) bool { return p.kept || now-p.since > KeptAfter }

// Cache is what one engine most likely has in its memory of prompts, from what was sent to it.
type Cache struct {
	capacity int
	tokens   int
	parts    *simplelru.LRU[PartHash, cachedPart]
}

// CacheCapacity is how many tokens of prompts an engine of a stage keeps in its memory.
func CacheCapacity(stage serving.Stage, memory int) int {
	if stage == serving.StageDecode {
		return int(decodeCacheShare * float64(memory))
	}
	return int(prefillCacheShare * float64(memory))
}

// NewCache returns the cache of an engine that keeps so many tokens.
func NewCache(capacity int) *Cache {
	cache := &Cache{capacity: capacity}
	cache.parts, _ = simplelru.NewLRU(maximumCachedParts, func(_ PartHash, part cachedPart) { cache.tokens -= part.tokens }) // the size is positive
	return cache
}

// Beginning is how much an engine has of a prompt's beginning, in tokens.
type Beginning struct {
	// Held is what it has or is reading, Unusable what of that no other request can use yet,
	// and Usable what stands before the first such part.
	Held, Unusable, Usable int
}

// Cached returns how much of the prompt's beginning the engine has.
func (c *Cache) Cached(wanted []Part, now time.Duration) Beginning {
	var found Beginning
	for _, prefix := range wanted {
		part, held := c.parts.Peek(prefix.Hash)
		if !held {
			break
		}
		found.Held += prefix.Tokens
		switch {
		case !part.isKept(now):
			found.Unusable += prefix.Tokens
		case found.Unusable == 0:
			found.Usable += prefix.Tokens
		}
	}
	return found
}

// Begin notes parts that the engine is sent to read, and returns those that it did not hold;
// the parts unused longest give way.
func (c *Cache) Begin(now time.Duration, read []Part) (begun []Part) {
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

// Keep notes parts that the engine has read and keeps for any request.
func (c *Cache) Keep(now time.Duration, read []Part) {
	for _, prefix := range read {
		if part, held := c.parts.Peek(prefix.Hash); !held || !part.kept {
			c.insert(prefix, cachedPart{tokens: prefix.Tokens, since: now, kept: true})
		}
	}
	c.makeRoom()
}

// Drop forgets parts whose reading was given up.
func (c *Cache) Drop(given []PartHash) {
	for _, hash := range given {
		if part, held := c.parts.Peek(hash); held && !part.kept {
			c.parts.Remove(hash)
		}
	}
}

// Resize takes the capacity of another stage.
func (c *Cache) Resize(capacity int) {
	c.capacity = capacity
	c.makeRoom()
}

// Capacity is how many tokens of prompts the engine keeps.
func (c *Cache) Capacity() int { return c.capacity }

// insert puts a part in place of what was known of it.
func (c *Cache) insert(prefix Part, part cachedPart) {
	c.parts.Remove(prefix.Hash)
	c.parts.Add(prefix.Hash, part)
	c.tokens += part.tokens
}

// makeRoom forgets the parts unused longest.
func (c *Cache) makeRoom() {
	for c.tokens > c.capacity {
		if _, _, removed := c.parts.RemoveOldest(); !removed {
			return
		}
	}
}
