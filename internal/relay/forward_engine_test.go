package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a second relay that skips the separate prefill of a forwarded prompt, or mixes up the headers of its stages.
func TestForwardedPromptsArePrefilledSeparately(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	decoders := []*scriptedBackEnd{
		startBackEnd(t, "decoder-1", serving.StageDecode, streaming("seal", eventOne)),
		startBackEnd(t, "decoder-2", serving.StageDecode, streaming("seal", eventOne)),
	}
	for _, fault := range []dialFault{dialsRefused, dialsHang} {
		t.Run(fault.String(), func(t *testing.T) {
			before := len(reader.receivedRequests())
			relays, paths := newRelayGroup(t, 2, route(func(r *serving.Route) { stream(false)(r); r.Target = 5 * time.Second }), nil, append(decoders, reader)...)
			for _, relay := range relays {
				go relay.notices.run(t.Context())
			}
			paths[0].set(fault)
			for index := range 3 {
				began := time.Now()
				answer := relays[0].client(t).do("POST", "/path/", "x", "T-Stage: none", "T-Source: none", "T-Model: m", "T-Tokens: 9000,50", fmt.Sprintf("T-Parts: %02x:9000", index))
				t.Logf("request %d took %v", index+1, time.Since(began))
				require.Equal(t, 200, answer.status, answer.body)
				require.Equal(t, eventOne, answer.body)
			}
			prefills := reader.receivedRequests()[before:]
			require.Len(t, prefills, 3)
			for _, each := range prefills {
				require.Equal(t, "read", string(each.head.Peek("T-Stage")))
			}
		})
	}
	runs := allRequests(decoders)
	require.Len(t, runs, 6)
	for _, each := range runs {
		require.Empty(t, each.head.Peek("T-Stage"))
		require.Contains(t, string(each.head.Peek("T-Source")), "handle")
	}
}

// Guards against sending a request on that the second relay knows to crash back ends.
func TestRequestQuarantinedAtThePeerReachesNoBackEnd(t *testing.T) {
	backEnds := startThree(t, answering(200, "ok"))
	relays, paths := newRelayGroup(t, 3, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsRefused)
	for _, peer := range relays[1:] {
		peer.addQuarantined(false, "POST", "/path/", crashingBody)
	}
	client := relays[0].client(t)
	answer := client.do("POST", "/path/", crashingBody)
	require.Equal(t, 503, answer.status)
	require.Equal(t, reasonQuarantined+"\n", answer.body)
	require.Equal(t, "3.000", string(answer.head.Peek("Retry-After")))
	require.Empty(t, allRequests(backEnds))
	require.Equal(t, 200, client.do("POST", "/path/", "sound").status)
	require.Equal(t, relays[0].guard.IsQuarantined(quarantine.ContentOf("", "POST", "/path/", []byte(crashingBody), nil)), false)
}

// Guards against promising that a request was not run, although it may have, when the second relay refuses it for a reason of its own.
func TestRefusalOfAPeerPromisesNothingAfterARun(t *testing.T) {
	backEnds := startThree(t, resetting(""))
	for name, change := range map[string]func(*serving.Route){"safe": safe, "stream": stream(true)} {
		t.Run(name, func(t *testing.T) {
			relays, paths := newRelayGroup(t, 2, route(func(r *serving.Route) { change(r); r.MaxAttempts = 3 }), nil, backEnds...)
			relays[1].addQuarantined(false, "POST", "/path/", crashingBody)
			paths[0].setFor(dialsRefused, backEnds[1:]...)
			relays[0].preferring("a")
			answer := relays[0].client(t).do("POST", "/path/", crashingBody)
			require.Equal(t, 502, answer.status)
		})
	}
}
