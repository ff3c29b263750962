package relay

import (
	"sync"

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

// prefixHash identifies the beginning of a prompt up to and including one of its parts.
type prefixHash uint64

// promptPrefix is the beginning of a prompt up to one part; tokens are that part's own.
type promptPrefix struct {
	hash   prefixHash
	tokens int
}

// prefixes returns the beginnings of a prompt, the shortest first.
func prefixes(prompt serving.Prompt) []promptPrefix {
	found := make([]promptPrefix, 0, len(prompt.Parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt.Model) // never fails
	for _, part := range prompt.Parts {
		_, _ = digest.WriteString("/" + part.ID)
		found = append(found, promptPrefix{hash: prefixHash(digest.Sum64()), tokens: part.Tokens})
	}
	return found
}

// promptCache is what one engine most likely has in its memory of prompts, from what was
// sent to it. It is safe for concurrent use.
type promptCache struct {
	mutex    sync.Mutex
	capacity int
	tokens   int
	parts    *simplelru.LRU[prefixHash, int]
}

func newPromptCache(capacity int) *promptCache {
	cache := &promptCache{capacity: int(float64(capacity) * cacheShare)}
	cache.parts, _ = simplelru.NewLRU(maximumCachedParts, func(_ prefixHash, tokens int) { cache.tokens -= tokens }) // the size is positive
	return cache
}

// cached returns how many tokens of the prompt's beginning are held.
func (c *promptCache) cached(wanted []promptPrefix) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tokens := 0
	for _, prefix := range wanted {
		if !c.parts.Contains(prefix.hash) {
			break
		}
		tokens += prefix.tokens
	}
	return tokens
}

// add notes beginnings that the engine reads; the parts unused longest give way.
func (c *promptCache) add(read []promptPrefix) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, prefix := range read {
		if _, held := c.parts.Get(prefix.hash); held {
			continue
		}
		c.parts.Add(prefix.hash, prefix.tokens)
		c.tokens += prefix.tokens
	}
	for c.tokens > c.capacity {
		if _, _, removed := c.parts.RemoveOldest(); !removed {
			return
		}
	}
}
