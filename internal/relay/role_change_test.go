package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// An engine is avoided for the duration of a stage change from the moment at which it was marked as changing, since the list
// may show its new stage only after the change. Without a mark, the time counts from the moment at which the new stage is
// listed.
func TestEngineIsAvoidedForTheDurationOfItsStageChange(t *testing.T) {
	for name, marked := range map[string]bool{"marked as changing": true, "listed in another stage": false} {
		t.Run(name, func(t *testing.T) {
			engine := startBackEnd(t, "engine", serving.StageDecode, refusing(503))
			relay := newTestRelay(t, route(stream(true)), engine)
			relay.view.Load().table.Service("service").Engine.RoleChangeTime = time.Hour
			before := relay.clock.now()
			relay.changeListing(func(entry *serving.BackEnd) { entry.Changing = marked })
			require.Zero(t, relay.engineOf("engine").currentLoad(0).avoidUntil)
			marking := relay.clock.now()
			time.Sleep(time.Millisecond)
			relay.changeListing(func(entry *serving.BackEnd) { entry.Changing, entry.Stage = false, serving.StagePrefill })
			until := relay.engineOf("engine").currentLoad(0).avoidUntil
			if marked {
				require.GreaterOrEqual(t, until, before+time.Hour)
				require.LessOrEqual(t, until, marking+time.Hour)
				return
			}
			require.Greater(t, until, marking+time.Hour)
		})
	}
}
