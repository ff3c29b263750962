package controller

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/events"
)

// awaitHalt returns why this controller must not go on, or nil once it ends anyway.
func (c *controller) awaitHalt(ctx context.Context) error {
	select {
	case err := <-c.halted:
		c.log.Error().Str(events.FieldEvent, string(events.ControllerHalted)).Err(err).Send()
		return trace.Wrap(err)
	case <-ctx.Done():
		return nil
	}
}
