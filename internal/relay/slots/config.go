package slots

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// Config holds the dependencies of Slots.
type Config struct {
	Socket *datagram.Socket
	// Incarnation identifies this incarnation of the relay process.
	Incarnation uint64
	// Now returns the relay's clock; Draw returns a random number in [0, 1).
	Now  func() time.Duration
	Draw func() float64
	// Peers records which relays answer queries.
	Peers *peerhealth.Table
	// AnswerTimeout returns how long to wait for an owner's answer.
	AnswerTimeout func() time.Duration
	// Services returns the names of the services whose slots are shared; BackEnds returns the back ends of one of them.
	Services func() []string
	BackEnds func(service string) []slotqueue.BackEnd
	// Without holds the mechanisms that are disabled.
	Without mechanism.Set
	// Event begins a log line about the relay. DecisionEvent begins one about a single decision, which may be dropped first
	// when there are too many lines: the relays that were refused write lines of their own.
	Event         func(events.Event) *zerolog.Event
	DecisionEvent func(events.Event) *zerolog.Event
	Metrics       *Metrics
}
