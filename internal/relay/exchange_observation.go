package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// exchangeObservation is what this relay saw of an exchange that brought no answer, for its log line.
type exchangeObservation struct {
	// lasted is the time from the start of the exchange to its failure; 0 if nothing was started.
	lasted time.Duration
	// silence is how long the back end had sent nothing to this relay when the exchange failed, at most lasted.
	silence time.Duration
	// hasNewConnection is true if the exchange opened its connection, or failed to open one.
	hasNewConnection bool
}

// observe returns what was seen of a message's exchange until now.
func (e *exchanger) observe(message *message) exchangeObservation {
	if message.sentAt == 0 {
		return exchangeObservation{}
	}
	now := e.clock.now()
	lasted := now - message.sentAt
	return exchangeObservation{
		lasted: lasted, silence: min(now-message.backEnd.currentLoad(now).lastReceivedAt, lasted), hasNewConnection: message.hasNewConnection,
	}
}

// addFields adds the observation to a log line.
func (o exchangeObservation) addFields(line *zerolog.Event) {
	line.Int64("lasted_ms", o.lasted.Milliseconds()).Int64("silent_ms", o.silence.Milliseconds()).Bool("new_connection", o.hasNewConnection)
}
