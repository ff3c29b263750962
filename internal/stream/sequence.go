package stream

import (
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Step tells what to do with an event.
type Step int

// Steps.
const (
	// StepDeliver: the event is the next part of the answer.
	StepDeliver Step = iota
	// StepDrop: the event repeats what was delivered.
	StepDrop
	// StepForeign: the event belongs to another exchange; nothing more of this connection
	// can be trusted.
	StepForeign
	// StepResume: tokens are missing before the event; resume at Delivered.
	StepResume
	// StepFail: the engine reports an error; the answer cannot become whole here.
	StepFail
	// StepComplete: the answer is whole.
	StepComplete
)

// Sequence accepts the events of one answer, over any number of connections and
// exchanges, so that each token is delivered exactly once and in order.
type Sequence struct {
	exchange  string
	delivered int
	finished  bool
	counted   bool
	// keepText tells to gather the delivered text, for continuing at another engine.
	keepText   bool
	text       strings.Builder
	safeguards safeguard.Set
}

// NewSequence returns a sequence for one answer. With keepText it gathers the delivered
// text, which continuing at another engine needs. safeguards is the zero Set but in tests.
func NewSequence(keepText bool, safeguards safeguard.Set) *Sequence {
	return &Sequence{keepText: keepText, safeguards: safeguards}
}

// Begin names the exchange whose events are accepted from now on.
func (s *Sequence) Begin(exchange string) { s.exchange = exchange }

// Delivered returns the number of output tokens delivered.
func (s *Sequence) Delivered() int { return s.delivered }

// Text returns the text delivered.
func (s *Sequence) Text() string { return s.text.String() }

// Finished reports whether the finish event has been delivered.
func (s *Sequence) Finished() bool { return s.finished }

// Accept decides on one event and notes it when it is delivered.
func (s *Sequence) Accept(event *Event) Step {
	if event.Type == EventDone {
		if s.finished && s.counted || !s.safeguards.IsEnabled(CompletionCheck) {
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
		return s.acceptOnce(event, &s.counted)
	default:
		return StepFail
	}
}

func (s *Sequence) acceptToken(event *Event) Step {
	switch {
	case !s.safeguards.IsEnabled(OffsetCheck):
	case event.Offset <= s.delivered:
		return StepDrop
	case s.finished:
		return StepFail // a token after the end
	case event.Offset-event.Tokens != s.delivered:
		return StepResume
	}
	s.delivered = event.Offset
	if s.keepText {
		s.text.WriteString(event.Text)
	}
	return StepDeliver
}

// acceptOnce accepts an event that comes once, after the last token.
func (s *Sequence) acceptOnce(event *Event, seen *bool) Step {
	switch {
	case *seen:
		return StepDrop
	case event.Offset != s.delivered:
		return StepResume
	}
	*seen = true
	return StepDeliver
}
