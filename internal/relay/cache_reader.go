package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const (
	// cacheReadTimeout bounds the reading of one engine's list.
	cacheReadTimeout = 500 * time.Millisecond
	// cacheReadInterval is the time between two readings, so that engines are not held up at once.
	cacheReadInterval = 10 * time.Millisecond
	// ownershipCheckInterval is the time between two looks at which engines are this relay's.
	ownershipCheckInterval = 200 * time.Millisecond
	// cacheReadLifetime is how long what was read of an engine is good for: a relay that loses an
	// engine to another one and gets it back has not heard of what was read there meanwhile.
	cacheReadLifetime = 30 * time.Second
)

// cacheReader asks engines what they have cached when this relay becomes their owner or stand-in:
// engines outlive owners, and an owner that does not know would have prompts read again. Later it
// learns from notices.
type cacheReader struct {
	relay  *Relay
	read   func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error)
	client *http.Client
	// owned are the engines that were this relay's at the last look, readAt when they were read.
	owned  map[*prefixCache]bool
	readAt map[*prefixCache]time.Duration
}

// run looks for engines that are new to this relay until the context ends.
func (c *cacheReader) run(ctx context.Context) {
	for pause.For(ctx, ownershipCheckInterval) {
		if c.relay.view.Load().isReady() {
			c.readNewlyOwned(ctx)
		}
	}
}

// readNewlyOwned reads the engines that have become this relay's.
func (c *cacheReader) readNewlyOwned(ctx context.Context) {
	owned := map[*prefixCache]bool{}
	for _, engine := range c.relay.owners.ownedEngines() {
		if !c.owned[engine.cache] && c.isDue(engine) && !engine.isLeaving() && !c.mayCall(engine) {
			continue // it is read when it can be called
		}
		owned[engine.cache] = true
		if c.owned[engine.cache] || engine.isLeaving() || !c.isDue(engine) {
			continue
		}
		c.readAt[engine.cache] = c.relay.clock.now()
		cached, err := c.read(ctx, c.client, engine.BackEnd)
		c.relay.applySignals(engine, cached.Signals, internalCallSentAt)
		c.relay.checkIncarnation(engine, cached.StartedAtMs)
		if err == nil {
			engine.cache.markCached(c.relay.clock.now(), hashedBlocks(cached.Blocks))
		}
		if !pause.For(ctx, cacheReadInterval) {
			return
		}
	}
	c.owned = owned
	for cache := range c.readAt {
		if !owned[cache] && c.relay.clock.now()-c.readAt[cache] >= cacheReadLifetime {
			delete(c.readAt, cache)
		}
	}
}

// mayCall reports whether an engine can be called now: it does not rest, and its limit has room.
func (c *cacheReader) mayCall(engine *backEnd) bool {
	return !engine.inBackoff(c.relay.clock.now()) && c.relay.acquirePermit(engine, internalCallRank, false)
}

// isDue reports whether an engine was not read lately.
func (c *cacheReader) isDue(engine *backEnd) bool {
	readAt, wasRead := c.readAt[engine.cache]
	return !wasRead || c.relay.clock.now()-readAt >= cacheReadLifetime
}

func hashedBlocks(cachedParts []serving.CachedBlock) []placement.PrefixBlock {
	blocks := make([]placement.PrefixBlock, 0, len(cachedParts))
	for _, part := range cachedParts {
		blocks = append(blocks, placement.PrefixBlock{Hash: placement.HashBlock(part.Model, part.Block.ID), Tokens: part.Block.Tokens})
	}
	return blocks
}
