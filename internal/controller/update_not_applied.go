package controller

import (
	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/events"
)

// logUpdateNotApplied logs that a relay requested again an update that it was sent before.
func logUpdateNotApplied(log zerolog.Logger, update control.UpdateNotApplied) {
	log.Warn().Str(events.FieldEvent, string(events.UpdateNotApplied)).Str("relay", update.Relay).Str("news", string(update.Kind)).
		Uint64("held", update.HeldVersion).Uint64("told", update.SentVersion).
		Uint("lowest_format", uint(update.Formats.Lowest)).Uint("highest_format", uint(update.Formats.Highest)).Send()
}
