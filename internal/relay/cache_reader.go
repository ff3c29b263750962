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
	// cacheReadPause is the time between two readings, so that engines are not held up at once.
	cacheReadPause = 10 * time.Millisecond
	// viewPoll is the time between two looks at whether there is a view yet.
	viewPoll = 20 * time.Millisecond
)

// readCachesOnce asks every engine once, at the relay's start, what it has cached: engines
// outlive relays, and a relay that does not know would have prompts read again elsewhere.
// Later it learns from notices.
func (r *Relay) readCachesOnce(ctx context.Context, read func(context.Context, *http.Client, serving.BackEnd) ([]serving.CachedPart, error), client *http.Client) {
	for !r.view.Load().ready() {
		if !pause.For(ctx, viewPoll) {
			return
		}
	}
	for _, backEnds := range r.view.Load().byService {
		for _, engine := range backEnds {
			if !engine.isEngine() || engine.Leaving {
				continue
			}
			parts, err := read(ctx, client, engine.BackEnd)
			if err == nil {
				engine.cache.keep(r.clock.now(), hashed(parts))
			}
			if !pause.For(ctx, cacheReadPause) {
				return
			}
		}
	}
}

func hashed(parts []serving.CachedPart) []placement.Part {
	converted := make([]placement.Part, 0, len(parts))
	for _, part := range parts {
		converted = append(converted, placement.Part{Hash: placement.HashPart(part.Model, part.Part.ID), Tokens: part.Part.Tokens})
	}
	return converted
}
