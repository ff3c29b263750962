package stream

import (
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Step is the handling of an event that Sequence decided on.
type Step int

// Steps.
const (
	// StepDeliver: the event is the next one of the answer and is delivered.
	StepDeliver Step = iota
	// StepDrop: the event repeats delivered content and is dropped.
	StepDrop
	// StepForeign: the event belongs to another exchange; the connection cannot be trusted any more.
	StepForeign
	// StepResume: tokens before the event are missing; the stream must be resumed at Delivered.
	StepResume
	// StepFail: the engine reports an error, or sends a token after the finish event; the answer cannot be completed
	// in this exchange.
	StepFail
	// StepComplete: the answer is complete.
	StepComplete
)

// Sequence accepts the events of one answer, received over any number of connections and exchanges, so that
// each token is delivered exactly once and in order.
type Sequence struct {
	exchange        string
	deliveredTokens int
	finished        bool
	usageDelivered  bool
	// keepText makes the sequence store the delivered text, to continue the answer at another engine.
	keepText   bool
	text       strings.Builder
	safeguards safeguard.Set
}

// NewSequence returns a Sequence for one answer. With keepText it stores the delivered text, which is needed to
// continue the answer at another engine. safeguards is the zero Set except in tests.
func NewSequence(keepText bool, safeguards safeguard.Set) *Sequence {
	return &Sequence{keepText: keepText, safeguards: safeguards}
}

// Begin sets the exchange whose events are accepted from now on.
func (s *Sequence) Begin(exchange string) { s.exchange = exchange }

// Delivered returns the number of output tokens delivered.
func (s *Sequence) Delivered() int { return s.deliveredTokens }

// Text returns the delivered text; it is empty without keepText.
func (s *Sequence) Text() string { return s.text.String() }

// Finished reports whether the finish event has been delivered.
func (s *Sequence) Finished() bool { return s.finished }

// Accept decides on one event and records it if it is to be delivered.
func (s *Sequence) Accept(event *Event) Step {
	if event.Type == EventDone {
		if s.finished && s.usageDelivered || !s.safeguards.IsEnabled(CompletionCheck) {
			return StepComplete
		}
		return StepResume
	}
	if event.Exchange != s.exchange && s.safeguards.IsEnabled(EventEchoCheck) {
		return StepForeign
	}
	switch event.Type {
	case EventToken:
		return s.acceptToken(event)
	case EventFinish:
		return s.acceptOnce(event, &s.finished)
	case EventUsage:
		if !s.finished {
			return StepResume
		}
		return s.acceptOnce(event, &s.usageDelivered)
	default:
		return StepFail
	}
}

func (s *Sequence) acceptToken(event *Event) Step {
	switch {
	case !s.safeguards.IsEnabled(OffsetCheck):
	case event.Offset <= s.deliveredTokens:
		return StepDrop
	case s.finished:
		return StepFail // a token after the finish event
	case event.Offset-event.Tokens != s.deliveredTokens:
		return StepResume
	}
	s.deliveredTokens = event.Offset
	if s.keepText {
		s.text.WriteString(event.Text)
	}
	return StepDeliver
}

// acceptOnce accepts an event that occurs once, after the last token. delivered points to the flag that
// records whether the event was delivered.
func (s *Sequence) acceptOnce(event *Event, delivered *bool) Step {
	switch {
	case *delivered:
		return StepDrop
	case event.Offset != s.deliveredTokens:
		return StepResume
	}
	*delivered = true
	return StepDeliver
}
