package relay

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against a body that is none by the grammar of HTTP/1.1, and that a client gets as a whole one.
func TestBrokenChunksAreNotForwardedAsWhole(t *testing.T) {
	t.Parallel()
	for kindName, kind := range halfHeadKinds() {
		for _, way := range brokenanswer.Bodies(kind.answer) {
			for _, delivery := range deliveries {
				t.Run(strings.Join([]string{kindName, way.Name, delivery.name}, "/"), func(t *testing.T) {
					t.Parallel()
					answer := delivery.start(t, route(kind.kind), startThree(t, writing(way.Text))...).client(t).do("GET", "/path/", "")
					require.False(t, answer.status == 200 && answer.isComplete, "%q", answer.body)
				})
			}
		}
	}
}

// Guards against a client that gets a broken body, or a failure, though its request may be repeated.
func TestBrokenChunksAreReplacedByAWholeAnswer(t *testing.T) {
	t.Parallel()
	plain := halfHeadKinds()["safe"]
	for _, way := range brokenanswer.Bodies(plain.answer) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			broken := startBackEnd(t, "broken", serving.StageWhole, onceThen(writing(way.Text), writing(plain.answer.Whole())))
			sound := startBackEnd(t, "sound", serving.StageWhole, writing(plain.answer.Whole()))
			relay := newTestRelay(t, route(plain.kind), broken, sound).preferring("broken")
			lines := &logLines{}
			relay.log = requestLog{logger: zerolog.New(lines)}
			request := requestingWhole(t, relay, plain.answer.Body)
			request()
			require.Len(t, broken.receivedRequests(), 1)
			require.Contains(t, lines.String(), `"back_end":"broken"`)
			require.Contains(t, lines.String(), `"rule":"`+string(way.Rule)+`"`)
			requireAvoidedAndBack(t, relay, broken, request)
		})
	}
}

// Guards against calls of the relay's own that use an answer whose body is none.
func TestOwnCallsDoNotUseBrokenChunks(t *testing.T) {
	t.Parallel()
	for name, call := range ownCalls() {
		if name == "release" {
			continue // the status says that the call was carried out
		}
		for _, way := range brokenanswer.Bodies(call.answer) {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				backEnd := startBackEnd(t, "one", serving.StageDecode, writing(way.Text))
				relay := newTestRelay(t, longTimeout(), backEnd)
				call.check(t, relay, relay.engineOf("one"), halfhead.Way{Name: way.Name})
				require.Len(t, backEnd.receivedRequests(), 1)
			})
		}
	}
}
