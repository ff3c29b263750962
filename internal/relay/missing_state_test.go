package relay

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// A request's log line and answer name the state that the relay was missing.
func TestRefusalsNameTheMissingState(t *testing.T) {
	viewOf := func(relay *testRelay) view { return *relay.view.Load() }
	for missing, remove := range map[missingState]func(*view){
		missingConfiguration: func(view *view) { view.table, view.isListed = nil, false },
		missingListing:       func(view *view) { view.isListed = false },
		missingBackEnds:      func(view *view) { view.byService = map[string][]*backEnd{} },
	} {
		relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
		lines := &logLines{}
		relay.log = requestLog{logger: zerolog.New(lines)}
		relay.startupWait = 0
		next := viewOf(relay)
		remove(&next)
		relay.view.Store(&next)
		answer := relay.client(t).do("GET", "/path/", "")
		require.Equal(t, 503, answer.status)
		require.Equal(t, string(missing)+"\n", answer.body)
		require.Contains(t, lines.String(), `"reason":"`+string(missing)+`"`)
		require.Contains(t, lines.String(), `"event":"request_refused"`)
	}
}

// When no owner answers and the relay itself decides, the reason of the decision says so.
func TestDecisionReasonNamesAMissingOwner(t *testing.T) {
	relay := newTestRelay(t, route(stream(false)), startBackEnd(t, "engine", serving.StageDecode, streaming("engine", eventOne)))
	query := &engineQuery{purpose: purposeDecode, service: "service", request: placement.Request{Stage: serving.StageDecode}}
	cells := relay.owners.current.Load().services["service"]
	ownAnswer := relay.placements.decideInCell(cells, 0, query, nil)
	require.NotContains(t, ownAnswer.reason(), string(missingOwner))
	relay.ownedBy(newScriptedOwner(t).address())
	cells = relay.owners.current.Load().services["service"]
	localAnswer := relay.placements.decideInCell(cells, 0, query, nil)
	require.Contains(t, localAnswer.reason(), string(missingOwner))
}
