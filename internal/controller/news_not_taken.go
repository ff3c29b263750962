package controller

import (
	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/events"
)

// logNewsNotTaken writes the line of a relay that asks again for what it was told.
func logNewsNotTaken(log zerolog.Logger, told control.UpdateNotApplied) {
	log.Warn().Str(events.FieldEvent, string(events.UpdateNotApplied)).Str("relay", told.Relay).Str("news", string(told.Kind)).
		Uint64("held", told.HeldVersion).Uint64("told", told.SentVersion).
		Uint("lowest_format", uint(told.Formats.Lowest)).Uint("highest_format", uint(told.Formats.Highest)).Send()
}
