package relay

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// addQuarantinedPart marks a part of prompts as quarantined, as a leader's update would.
func (r *testRelay) addQuarantinedPart(version uint64, trialDue bool, caller, id string) quarantine.Signature {
	part := quarantine.PartSignatureOf(caller, id)
	r.guard.ApplyQuarantine(crashguard.Statement{
		Version: version, TellsParts: true, Parts: []*v1.SuspectPart{{Signature: part[:], Quarantined: true, TrialDue: trialDue, TrialInMs: 10_000}},
	})
	return part
}

// promptWith returns the headers of a request whose prompt has the given parts.
func promptWith(parts ...string) []string {
	return []string{"T-Model: m", "T-Tokens: 4000,10", "T-Parts: " + strings.Join(parts, ":1000,") + ":1000"}
}

// Guards against requests with a quarantined part that reach a back end: for a prefill, a run, or whatever the part's place.
func TestRequestWithAQuarantinedPartReachesNoBackEnd(t *testing.T) {
	reader := startBackEnd(t, "reader", serving.StagePrefill, answering(200, "handle"))
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("seal", eventOne))
	relay := newTestRelay(t, route(stream(true)), reader, engine)
	relay.addQuarantinedPart(1, false, "", "dead")
	for number, parts := range [][]string{{"dead", "last"}, {"sound", "dead", "last"}, {"sound", "dead", "other", "last"}} {
		answer := relay.client(t).do("POST", "/path/", fmt.Sprint(number), promptWith(parts...)...)
		require.Equal(t, 503, answer.status, parts)
		retryAfter, err := strconv.ParseFloat(string(answer.head.Peek("Retry-After")), 64)
		require.NoError(t, err)
		require.Greater(t, retryAfter, crashguard.QuarantineRetryAfter.Seconds(), "the next trial is later")
		require.LessOrEqual(t, retryAfter, 10.0)
	}
	require.Empty(t, reader.receivedRequests())
	require.Empty(t, engine.receivedRequests())
	for number, parts := range [][]string{{"sound", "last"}, {"sound", "dead"}} {
		require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", fmt.Sprint("sound ", number), promptWith(parts...)...).body, parts)
	}
}

// The quarantine of one tenant's part does not affect a part with the same ID of another tenant.
func TestTheSamePartOfAnotherTenantIsNotHeld(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, answering(200, "ok"))
	tenants := []serving.Tenant{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}}
	relay := newKeyedRelay(t, route(safe), tenants, backEnd)
	relay.addQuarantinedPart(1, false, "a", "dead")
	require.Equal(t, 503, relay.client(t).do("POST", "/path/", "x", append(promptWith("dead", "last"), "T-Key: key ka")...).status)
	require.Equal(t, 200, relay.client(t).do("POST", "/path/", "x", append(promptWith("dead", "last"), "T-Key: key kb")...).status)
}

// Guards against a request that is sent although a part of its prompt was quarantined while it waited: here it is sent again after a
// failed attempt.
func TestRequestIsNotRetriedOnceAPartIsQuarantined(t *testing.T) {
	var relay *testRelay
	first := startBackEnd(t, "first", serving.StageWhole, func(net.Conn, backEndRequest) bool {
		relay.addQuarantinedPart(1, false, "", "dead")
		return false
	})
	second := startBackEnd(t, "second", serving.StageWhole, answering(200, "ok"))
	relay = newTestRelay(t, route(safe), first, second).preferring("first")
	require.Equal(t, 502, relay.client(t).do("POST", "/path/", "x", promptWith("dead", "last")...).status, "the request may have run")
	require.Empty(t, second.receivedRequests())
}

// Guards against a run that begins although a part of its prompt was quarantined while the prompt was read elsewhere.
func TestPrefilledRequestIsNotRunOnceAPartIsQuarantined(t *testing.T) {
	var relay *testRelay
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		relay.addQuarantinedPart(1, false, "", "dead")
		return answering(200, "handle")(connection, request)
	})
	engine := startBackEnd(t, "engine", serving.StageDecode, streaming("seal", eventOne))
	relay = newTestRelay(t, route(stream(true)), reader, engine)
	answer := relay.client(t).do("POST", "/path/", "x", "T-Model: m", "T-Tokens: 9000,50", "T-Parts: dead:6000,last:3000")
	require.Equal(t, 503, answer.status)
	require.NotEmpty(t, reader.receivedRequests())
	for _, request := range engine.receivedRequests() {
		require.NotContains(t, request.line, "/path/", "only the handle may be released")
	}
}

// A trial of a part reaches a single engine once. If it succeeds, requests with the part run again.
func TestATrialOfAPartReachesOneBackEnd(t *testing.T) {
	for name, answer := range map[string]script{"trial succeeds": streaming("seal", eventOne), "breaks": resetting("")} {
		t.Run(name, func(t *testing.T) {
			engines := []*scriptedBackEnd{startBackEnd(t, "one", serving.StageDecode, answer), startBackEnd(t, "two", serving.StageDecode, answer)}
			relay := newTestRelay(t, route(stream(true)), engines[0], engines[1])
			leader := grantingLeader{released: make(chan []byte, 1)}
			relay.guardedBy(t, leader)
			part := relay.addQuarantinedPart(1, true, "", "dead")
			got := relay.client(t).do("POST", "/path/", "x", promptWith("dead", "last")...)
			require.Len(t, append(engines[0].receivedRequests(), engines[1].receivedRequests()...), 1)
			if name == "breaks" {
				require.Equal(t, 502, got.status)
				require.Equal(t, 503, relay.client(t).do("POST", "/path/", "y", promptWith("dead", "last")...).status)
				return
			}
			require.Equal(t, eventOne, got.body)
			require.Equal(t, part[:], <-leader.released)
			require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "y", promptWith("dead", "last")...).body)
		})
	}
}

// Refusals and failed answers do not show that a part is sound.
func TestOnlyServedAnswersClearAPart(t *testing.T) {
	for name, test := range map[string]struct {
		script  script
		isSound bool
	}{
		"served":     {answering(200, "ok"), true},
		"an error":   {answering(500, "failed"), false},
		"a refusal":  {answering(400, "invalid"), false},
		"broken off": {resetting(""), false},
	} {
		t.Run(name, func(t *testing.T) {
			backEnd := startBackEnd(t, "one", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
				if request.body == "marker" {
					return answering(200, "ok")(connection, request)
				}
				return test.script(connection, request)
			})
			relay := newTestRelay(t, route(func(config *serving.Route) { safe(config); config.MaxAttempts = 1 }), backEnd)
			leader := grantingLeader{released: make(chan []byte, 2)}
			relay.guardedBy(t, leader)
			part, marker := quarantine.PartSignatureOf("", "part"), quarantine.PartSignatureOf("", "marker")
			relay.guard.ApplyQuarantine(crashguard.Statement{Version: 1, TellsParts: true, Parts: []*v1.SuspectPart{{Signature: part[:]}, {Signature: marker[:]}}})
			relay.client(t).do("POST", "/path/", "x", promptWith("part", "last")...)
			if test.isSound {
				require.Equal(t, part[:], <-leader.released)
			}
			require.Equal(t, 200, relay.client(t).do("POST", "/path/", "marker", promptWith("marker", "last")...).status)
			require.Equal(t, marker[:], <-leader.released)
		})
	}
}
