package relay

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// cacheShare is the part of an engine's memory that is taken to hold parts of prompts.
	cacheShare = 0.75
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
	// since is when the engine was asked to read it; it holds it once it has.
	since time.Duration
}

// promptCache is what one engine most likely has in its memory of prompts, from what was
// sent to it. It is safe for concurrent use.
type promptCache struct {
	mutex    sync.Mutex
	capacity int
	tokens   int
	parts    *simplelru.LRU[partHash, cachedPart]
}

func newPromptCache(capacity int) *promptCache {
	cache := &promptCache{capacity: int(float64(capacity) * cacheShare)}
	cache.parts, _ = simplelru.NewLRU(maximumCachedParts, func(_ partHash, part cachedPart) { cache.tokens -= part.tokens }) // the size is positive
	return cache
}

// cached returns how many tokens of the prompt's beginning the engine holds, or will hold
// before it reads this prompt.
func (c *promptCache) cached(wanted []promptPart) int { return c.cachedSince(wanted, forever) }

// forever is later than any time of the process.
const forever = time.Duration(math.MaxInt64)

// cachedSince returns how many tokens of the prompt's beginning the engine was sent to read
// by a time.
func (c *promptCache) cachedSince(wanted []promptPart, by time.Duration) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tokens := 0
	for _, prefix := range wanted {
		part, held := c.parts.Peek(prefix.hash)
		if !held || part.since > by {
			break
		}
		tokens += prefix.tokens
	}
	return tokens
}

// add notes beginnings that the engine is sent to read; the parts unused longest give way.
func (c *promptCache) add(now time.Duration, read []promptPart) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, prefix := range read {
		if _, held := c.parts.Get(prefix.hash); held {
			continue
		}
		c.parts.Add(prefix.hash, cachedPart{tokens: prefix.tokens, since: now})
		c.tokens += prefix.tokens
	}
	for c.tokens > c.capacity {
		if _, _, removed := c.parts.RemoveOldest(); !removed {
			return
		}
	}
}
