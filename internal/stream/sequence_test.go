package stream

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const thisExchange, otherExchange = "own", "other"

func token(exchange string, offset, tokens int) Event {
	return Event{Type: EventToken, Exchange: exchange, Offset: offset, Tokens: tokens, Text: strings.Repeat("x", tokens)}
}

func finish(offset int) Event {
	return Event{Type: EventFinish, Exchange: thisExchange, Offset: offset}
}

func usageOf(offset int) Event {
	return Event{Type: EventUsage, Exchange: thisExchange, Offset: offset}
}

// TestSequence checks the step that follows from each event of a stream.
func TestSequence(t *testing.T) {
	done := Event{Type: EventDone}
	tests := []struct {
		name   string
		events []Event
		want   []Step
	}{
		{"whole", []Event{token(thisExchange, 1, 1), token(thisExchange, 3, 2), finish(3), usageOf(3), done},
			[]Step{StepDeliver, StepDeliver, StepDeliver, StepDeliver, StepComplete}},
		{"a token twice", []Event{token(thisExchange, 1, 1), token(thisExchange, 1, 1)}, []Step{StepDeliver, StepDrop}},
		{"an older token", []Event{token(thisExchange, 1, 1), token(thisExchange, 2, 1), token(thisExchange, 1, 1)}, []Step{StepDeliver, StepDeliver, StepDrop}},
		{"a gap", []Event{token(thisExchange, 1, 1), token(thisExchange, 3, 1)}, []Step{StepDeliver, StepResume}},
		{"tokens that overlap", []Event{token(thisExchange, 2, 2), token(thisExchange, 3, 2)}, []Step{StepDeliver, StepResume}},
		{"another exchange", []Event{token(thisExchange, 1, 1), token(otherExchange, 2, 1)}, []Step{StepDeliver, StepForeign}},
		{"no exchange", []Event{token("", 1, 1)}, []Step{StepForeign}},
		{"done at once", []Event{done}, []Step{StepResume}},
		{"done without finish", []Event{token(thisExchange, 1, 1), usageOf(1), done}, []Step{StepDeliver, StepResume, StepResume}},
		{"done without usage", []Event{token(thisExchange, 1, 1), finish(1), done}, []Step{StepDeliver, StepDeliver, StepResume}},
		{"finish too early", []Event{token(thisExchange, 1, 1), finish(2)}, []Step{StepDeliver, StepResume}},
		{"finish twice", []Event{token(thisExchange, 1, 1), finish(1), finish(1)}, []Step{StepDeliver, StepDeliver, StepDrop}},
		{"a token after the finish", []Event{token(thisExchange, 1, 1), finish(1), token(thisExchange, 2, 1)}, []Step{StepDeliver, StepDeliver, StepFail}},
		{"an error", []Event{token(thisExchange, 1, 1), {Type: EventError, Exchange: thisExchange}}, []Step{StepDeliver, StepFail}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sequence := NewSequence(true, safeguard.Set{})
			sequence.Begin(thisExchange)
			for i := range test.events {
				require.Equal(t, test.want[i], sequence.Accept(&test.events[i]), "event %d", i)
			}
		})
	}
}

// TestSequenceDelivery checks that, for any events over any number of connections and exchanges, the delivered
// text is a prefix of the answer, and the whole answer once the sequence reports it as complete.
func TestSequenceDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		answer := ""
		for number := range length {
			answer += fmt.Sprintf("<%d>", number)
		}
		sequence := NewSequence(true, safeguard.Set{})
		exchange := thisExchange
		sequence.Begin(exchange)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 { // continue in another exchange
				exchange += "+"
				sequence.Begin(exchange)
			}
			event := drawEvent(t, exchange, length)
			if sequence.Accept(&event) == StepComplete && sequence.Text() != answer {
				t.Fatalf("complete with %q of %q", sequence.Text(), answer)
			}
			if !strings.HasPrefix(answer, sequence.Text()) {
				t.Fatalf("%q is not a prefix of %q", sequence.Text(), answer)
			}
		}
	})
}

// drawEvent returns a random event, of any exchange and in any order.
func drawEvent(t *rapid.T, exchange string, length int) Event {
	event := Event{Exchange: exchange, Offset: rapid.IntRange(1, length).Draw(t, "offset"), Tokens: 1}
	event.Tokens = rapid.IntRange(1, event.Offset).Draw(t, "tokens")
	if rapid.IntRange(0, 4).Draw(t, "foreign") == 0 {
		event.Exchange = otherExchange
		event.Text = "ANOTHER'S"
		return event
	}
	switch rapid.IntRange(0, 5).Draw(t, "type") {
	case 0:
		event.Type, event.Offset = EventFinish, length
	case 1:
		event.Type, event.Offset = EventUsage, length
	case 2:
		event.Type = EventDone
	default:
		for number := event.Offset - event.Tokens; number < event.Offset; number++ {
			event.Text += fmt.Sprintf("<%d>", number)
		}
	}
	return event
}

// TestScanner checks how bytes are split into events, and which bytes are rejected.
func TestScanner(t *testing.T) {
	tokenLine := `data: {"exchange":"own","offset":1,"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}`
	tests := []struct {
		name string
		text string
		want Event
		err  error
	}{
		{"token", tokenLine + "\n\n", Event{Type: EventToken, Exchange: thisExchange, Offset: 1, Tokens: 1, Text: "a"}, nil},
		{"after noise", ": c\nevent: x\nid: 7\n\n" + tokenLine + "\r\n\r\n", Event{Type: EventToken, Exchange: thisExchange, Offset: 1, Tokens: 1, Text: "a"}, nil},
		{"done", "data: [DONE]\n", Event{Type: EventDone}, nil},
		{"finish", `data: {"exchange":"own","offset":2,"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n", Event{Type: EventFinish, Exchange: thisExchange, Offset: 2, Tokens: 1, FinishReason: "stop"}, nil},
		{"completions", `data: {"exchange":"own","offset":2,"tokens":2,"choices":[{"text":"b"}]}` + "\n", Event{Type: EventToken, Exchange: thisExchange, Offset: 2, Tokens: 2, Text: "b"}, nil},
		{"end", "", Event{}, io.EOF},
		{"cut in a line", tokenLine, Event{}, io.ErrUnexpectedEOF},
		{"no JSON", "data: {\n", Event{}, ErrMalformed},
		{"negative offset", `data: {"offset":-1}` + "\n", Event{}, ErrMalformed},
		{"no tokens", `data: {"offset":1,"tokens":0}` + "\n", Event{}, ErrMalformed},
		{"too long", "data: " + strings.Repeat("x", maximumEventBytes+scannerBufferBytes) + "\n", Event{}, ErrMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			event, err := newTestScanner(strings.NewReader(test.text)).Next()
			require.ErrorIs(t, err, test.err)
			event.Choices, event.Usage = nil, nil
			require.Equal(t, test.want, event)
		})
	}
}
