package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
)

// partHash identifies a part of prompts for one model.
type partHash uint64

func hashPart(model, id string) partHash { return partHash(xxhash.Sum64String(model + "/" + id)) }

// promptPart is one part of a prompt with its length.
type promptPart struct {
	hash   partHash
	tokens int
}

// partsOf returns the parts of a prompt in order.
func partsOf(prompt serving.Prompt) []promptPart {
	parts := make([]promptPart, 0, len(prompt.Parts))
	for _, part := range prompt.Parts {
		parts = append(parts, promptPart{hash: hashPart(prompt.Model, part.ID), tokens: part.Tokens})
	}
	return parts
}

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

// keptAfter is the age at which a part counts as kept although nobody has told so: by then
// it was read, and memory that nobody took has lapsed.
const keptAfter = 5 * time.Second

func (p cachedPart) isKept(now time.Duration) bool { return p.kept || now-p.since > keptAfter }

// promptCache is what one engine most likely has in its memory of prompts, from what was
// sent to it. It is safe for concurrent use.
type promptCache struct {
	mutex    sync.Mutex
	capacity int
	tokens   int
	parts    *simplelru.LRU[partHash, cachedPart]
	// changed is closed and replaced when a part is kept or dropped.
	changed chan struct{}
}

// cacheCapacity is how many tokens of prompts an engine of a stage keeps in its memory.
func cacheCapacity(stage serving.Stage, memory int) int {
	if stage == serving.StageDecode {
		return int(decodeCacheShare * float64(memory))
	}
	return int(prefillCacheShare * float64(memory))
}

// newPromptCache returns the cache of an engine that keeps so many tokens.
func newPromptCache(capacity int) *promptCache {
	cache := &promptCache{capacity: capacity, changed: make(chan struct{})}
	cache.parts, _ = simplelru.NewLRU(maximumCachedParts, func(_ partHash, part cachedPart) { cache.tokens -= part.tokens }) // the size is positive
	return cache
}

// beginning is how much an engine has of a prompt's beginning, in tokens.
type beginning struct {
	// held is what it has or is reading, unusable what of that no other request can use yet,
	// and usable what stands before the first such part.
	held, unusable, usable int
}

// cached returns how much of the prompt's beginning the engine has.
func (c *promptCache) cached(wanted []promptPart, now time.Duration) beginning {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found beginning
	for _, prefix := range wanted {
		part, held := c.parts.Peek(prefix.hash)
		if !held {
			break
		}
		found.held += prefix.tokens
		switch {
		case !part.isKept(now):
			found.unusable += prefix.tokens
		case found.unusable == 0:
			found.usable += prefix.tokens
		}
	}
	return found
}

// begin notes parts that the engine is sent to read, and returns those that it did not hold;
// the parts unused longest give way.
func (c *promptCache) begin(now time.Duration, read []promptPart) (begun []promptPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, prefix := range read {
		if _, held := c.parts.Get(prefix.hash); held {
			continue
		}
		c.insert(prefix, cachedPart{tokens: prefix.tokens, since: now})
		begun = append(begun, prefix)
	}
	c.makeRoom()
	return begun
}

// keep notes parts that the engine has read and keeps for any request.
func (c *promptCache) keep(now time.Duration, read []promptPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, prefix := range read {
		if part, held := c.parts.Peek(prefix.hash); !held || !part.kept {
			c.insert(prefix, cachedPart{tokens: prefix.tokens, since: now, kept: true})
		}
	}
	c.makeRoom()
	c.tellChange()
}

// drop forgets parts whose reading was given up.
func (c *promptCache) drop(given []partHash) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, hash := range given {
		if part, held := c.parts.Peek(hash); held && !part.kept {
			c.parts.Remove(hash)
		}
	}
	c.tellChange()
}

// resize takes the capacity of another stage.
func (c *promptCache) resize(capacity int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.capacity = capacity
	c.makeRoom()
}

// changes returns a channel that is closed when a part is kept or dropped next.
func (c *promptCache) changes() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// insert puts a part in place of what was known of it. The mutex is held.
func (c *promptCache) insert(prefix promptPart, part cachedPart) {
	c.parts.Remove(prefix.hash)
	c.parts.Add(prefix.hash, part)
	c.tokens += part.tokens
}

// makeRoom forgets the parts unused longest. The mutex is held.
func (c *promptCache) makeRoom() {
	for c.tokens > c.capacity {
		if _, _, removed := c.parts.RemoveOldest(); !removed {
			return
		}
	}
}

// tellChange wakes those that wait for a change. The mutex is held.
func (c *promptCache) tellChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}
