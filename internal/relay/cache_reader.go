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
	// cacheReadTimeout limits the duration of the call that reads one engine's cached blocks.
	cacheReadTimeout = 500 * time.Millisecond
	// cacheReadInterval is the time between the calls to two engines, so that not all engines are delayed at once.
	cacheReadInterval = 10 * time.Millisecond
	// ownershipCheckInterval is the time between two checks of which engines this relay owns.
	ownershipCheckInterval = 200 * time.Millisecond
	// cacheReadLifetime is how long an engine is not read again. A relay that loses an engine to another relay and gets it
	// back later has missed the notices in between.
	cacheReadLifetime = 30 * time.Second
)

// cacheReader asks engines which blocks they have cached when this relay becomes their owner or deputy. Engines outlive
// their owners, and an owner without this information would have prompts prefilled again. Later updates arrive as notices.
type cacheReader struct {
	relay  *Relay
	read   func(context.Context, *http.Client, serving.BackEnd) (serving.CacheReport, error)
	client *http.Client
	// owned holds the engines that this relay owned at the last check, except those that could not be called yet; readAt
	// is when each engine was called.
	owned  map[*prefixCache]bool
	readAt map[*prefixCache]time.Duration
}

// run reads the cached blocks of newly owned engines until the context ends.
func (c *cacheReader) run(ctx context.Context) {
	for pause.For(ctx, ownershipCheckInterval) {
		if c.relay.view.Load().isReady() {
			c.readNewlyOwned(ctx)
		}
	}
}

// readNewlyOwned calls the engines of which this relay has newly become owner or deputy.
func (c *cacheReader) readNewlyOwned(ctx context.Context) {
	owned := map[*prefixCache]bool{}
	for _, engine := range c.relay.owners.ownedEngines() {
		if !c.owned[engine.cache] && c.isDue(engine) && !engine.isLeaving() && !c.mayCall(engine) {
			continue // the engine is tried again at the next check
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

// mayCall reports whether an engine may be called now: it is not in backoff, and its limit permits the call.
func (c *cacheReader) mayCall(engine *backEnd) bool {
	return !engine.inBackoff(c.relay.clock.now()) && c.relay.acquirePermit(engine, internalCallRank, false)
}

// isDue reports whether an engine was not called within cacheReadLifetime.
func (c *cacheReader) isDue(engine *backEnd) bool {
	readAt, wasRead := c.readAt[engine.cache]
	return !wasRead || c.relay.clock.now()-readAt >= cacheReadLifetime
}

func hashedBlocks(cachedBlocks []serving.CachedBlock) []placement.PrefixBlock {
	blocks := make([]placement.PrefixBlock, 0, len(cachedBlocks))
	for _, block := range cachedBlocks {
		blocks = append(blocks, placement.PrefixBlock{Hash: placement.HashBlock(block.Model, block.Block.ID), Tokens: block.Block.Tokens})
	}
	return blocks
}
