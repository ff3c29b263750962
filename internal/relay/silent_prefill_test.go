package relay

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// silentPrefill serves a long prompt whose prefill engine falls silent for 0.4 s after the relay has noticed it, at an idle
// decoding engine or at one that may not prefill the prompt itself, with a second prefill engine or without.
func silentPrefill(t *testing.T, isDecoderBusy, hasOther bool, prepare func(relay *testRelay)) (answer clientAnswer, reader, other, decoder *scriptedBackEnd) {
	t.Helper()
	var relay *testRelay
	reader = startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		relay.awaitNoticedSilence(t, "reader", silenceAfterNotice)
		return answering(200, "handle")(connection, request)
	})
	decoder = startBackEnd(t, "decoder", serving.StageDecode, streaming("decoder", eventOne))
	backEnds := []*scriptedBackEnd{reader, decoder}
	if hasOther {
		other = startBackEnd(t, "other", serving.StagePrefill, answering(200, "other-handle"))
		backEnds = append(backEnds, other)
	}
	relay = newTestRelay(t, route(stream(true)), backEnds...)
	if isDecoderBusy {
		relay.engineOf("decoder").addWork(placement.PrefillWork(10_000, 0))
	}
	if hasOther {
		relay.engineOf("other").addWork(placement.PrefillWork(5000, 0)) // so that the silent engine is selected first
	}
	if prepare != nil {
		prepare(relay)
	}
	return relay.client(t).do("POST", "/path/", "x", longPrompt...), reader, other, decoder
}

// Guards against a silence that ends a prefill although no other engine may prefill the prompt: the request was refused.
func TestSilentPrefillEngineKeepsItsPromptWhenNoOtherMayPrefillIt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		hasOther bool
		prepare  func(relay *testRelay)
	}{
		"no other prefill engine": {},
		"the other one is leaving": {true, func(relay *testRelay) {
			relay.engineOf("other").signals.MarkLeaving(relay.clock.now())
		}},
		"no retry budget": {true, func(relay *testRelay) { relay.budget.SetBounds(0, time.Hour, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer, reader, _, decoder := silentPrefill(t, true, test.hasOther, test.prepare)
			require.Equal(t, 200, answer.status)
			require.Equal(t, eventOne, answer.body)
			require.Equal(t, reader.entry.Address+"/handle", string(decoder.receivedRequests()[0].head.Peek("T-Source")))
		})
	}
}

// Guards against prompts that wait for a silent prefill engine although another engine may prefill them.
func TestSilentPrefillEngineIsReplaced(t *testing.T) {
	t.Parallel()
	t.Run("by the decoding engine", func(t *testing.T) {
		t.Parallel()
		answer, _, _, decoder := silentPrefill(t, false, false, nil)
		require.Equal(t, eventOne, answer.body)
		require.Empty(t, decoder.receivedRequests()[0].head.Peek("T-Source"))
	})
	t.Run("by another prefill engine", func(t *testing.T) {
		t.Parallel()
		answer, _, other, decoder := silentPrefill(t, true, true, nil)
		require.Equal(t, eventOne, answer.body)
		require.Equal(t, other.entry.Address+"/other-handle", string(decoder.receivedRequests()[0].head.Peek("T-Source")))
	})
}
