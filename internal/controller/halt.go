package controller

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// awaitHalt waits for an error that stops this controller and returns it, or nil when the context ends first.
func (c *controller) awaitHalt(ctx context.Context) error {
	select {
	case err := <-c.haltErrors:
		c.log.Error().Str(events.FieldEvent, string(events.ControllerHalted)).Err(err).Send()
		return trace.Wrap(err)
	case <-ctx.Done():
		return nil
	}
}
