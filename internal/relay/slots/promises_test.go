package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// Twice the load for two seconds: clients that are refused with a promise and return at their time, at another relay, are
// served, although newcomers keep coming.
func TestPromisedClientsAreServedAtTwiceTheLoad(t *testing.T) {
	inFleet(t, 10, 3, 2, func(t *testing.T, fleet *testFleet) {
		fleet.serveAtOnce(fleet.relays[2:], 4) // the owner learns the service time
		// 6 slots of 20 ms carry 300 requests a second; one each 1.67 ms is twice that.
		returned, served := fleet.overload(2*time.Second, 1670*time.Microsecond, 1).since(0)
		require.Greater(t, returned, 100)
		require.GreaterOrEqual(t, served*10, returned*9)
	})
}

// The owner dies with promises given, at twice the load. The deputy has got them and must keep them: clients that return at
// their time after that are served, although newcomers keep coming.
func TestPromisesOutliveTheOwner(t *testing.T) {
	inFleet(t, 10, 3, 2, func(t *testing.T, fleet *testFleet) {
		fleet.serveAtOnce(fleet.relays[2:], 4)
		killedAt, known := make(chan time.Duration, 1), make(chan int, 1)
		time.AfterFunc(time.Second, func() {
			known <- fleet.deputy().promisesDue()
			killedAt <- fleet.owner().now()
			fleet.owner().kill()
		})
		returns := fleet.overload(2*time.Second, 1670*time.Microsecond, 1)
		require.NotZero(t, <-known, "the deputy knows promises")
		returned, served := returns.since(<-killedAt)
		require.Greater(t, returned, 50)
		require.GreaterOrEqual(t, served*10, returned*9)
	})
}

// Without the mechanism return-plans, nobody is promised a time.
func TestReturnPlansCanBeSwitchedOff(t *testing.T) {
	without, err := mechanism.Without([]string{string(mechanism.ReturnPlans)})
	require.NoError(t, err)
	require.Nil(t, newOwnedService(service, &Config{Without: without}).plan)
	require.NotNil(t, newOwnedService(service, &Config{}).plan)
}

// Any relay could send promises. Only those of the service's owners may keep slots free.
func TestPromisesOfStrangersAreDropped(t *testing.T) {
	inFleet(t, 4, 1, 1, func(t *testing.T, fleet *testFleet) {
		stranger, deputy := fleet.relays[2], fleet.deputy()
		change := returnplan.Change{Promise: returnplan.Promise{Signature: 1, DueAt: deputy.now() + 400*time.Millisecond}}
		stranger.sendChanges(deputy.address(), service, []returnplan.Change{change}, deputy.now())
		time.Sleep(2 * networkDelay)
		require.Zero(t, deputy.promisesDue())
		fleet.owner().sendChanges(deputy.address(), service, []returnplan.Change{change}, deputy.now())
		time.Sleep(2 * networkDelay)
		require.Equal(t, 1, deputy.promisesDue())
	})
}
