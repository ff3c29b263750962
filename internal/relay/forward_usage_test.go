package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against counting a request for its tenant at both relays, or at neither.
func TestForwardedRequestsAreCountedOnce(t *testing.T) {
	for name, test := range map[string]struct {
		answer script
		change func(*serving.Route)
		// ownAttempt is true if the first relay tries a back end before it loses its path.
		ownAttempt bool
		want       uint64
	}{
		"plain":                     {answering(200, "ok"), nil, false, 1},
		"stream":                    {streaming("seal", eventOne), stream(true), false, 1},
		"answer is lost":            {resetting(""), nil, false, 1},
		"refused by the back ends":  {refusing(503), nil, false, 0},
		"plain after an own run":    {answering(200, "ok"), safe, true, 1},
		"stream after an own run":   {streaming("seal", eventOne, eventTwo), stream(true), true, 1},
		"answer is lost every time": {resetting(""), safe, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			backEnds := startThree(t, test.answer)
			var own *scriptedBackEnd
			if test.ownAttempt {
				own = startBackEnd(t, "own", serving.StageWhole, streaming("seal", eventOne, "cut"))
				backEnds = append(backEnds, own)
			}
			relays, paths := newRelayGroup(t, 2, route(test.change), twoTenants(), backEnds...)
			for _, relay := range relays {
				relay.usage.UpdateTime(relay.clock.now(), 1_790_000_000_000, 5*time.Second)
			}
			relays[0].loseAllPaths(t, paths[0], dialsRefused)
			if own != nil { // the only one that the first relay reaches, over a connection that it has
				paths[1].setFor(dialsRefused, own)
				paths[0].setFor(dialsOpen, own)
				relays[0].path.connect(relays[0].backEndByID("own"))
				relays[0].preferring("own")
			}
			relays[0].client(t).do("GET", "/path/", "", "T-Key: key k2")
			counted := relays[0].takeCounts()["two"] + relays[1].takeCounts()["two"]
			require.Equal(t, test.want, counted)
			if own != nil {
				require.Len(t, own.receivedRequests(), 1)
			}
		})
	}
}
