package slots

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/returnplan"
)

// refusedClient is a client that was told when to return.
type refusedClient struct {
	signature uint64
	returnAt  time.Duration
}

// overload sends more requests than the slots can carry, each with a signature of its own, for a length of time, and
// returns the clients that got a promise. Each request has a target in 100 ms.
func (f *testFleet) overload(length, interval time.Duration, firstSignature uint64) (promised []refusedClient, granted int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	senders := f.relays[2:]
	for number, end := 0, time.Now().Add(length); time.Now().Before(end); number++ {
		relay, signature := senders[number%len(senders)], firstSignature+uint64(number)
		group.Go(func() {
			outcome := f.serve(relay, relay.urgentRequest(signature))
			mutex.Lock()
			defer mutex.Unlock()
			if outcome.Promised {
				promised = append(promised, refusedClient{signature: signature, returnAt: relay.now() + outcome.RetryAfter})
			}
			if outcome.Kind == Granted {
				granted++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return promised, granted
}

// urgentRequest returns a request with a target in 100 ms and a deadline in 2 s.
func (r *testRelay) urgentRequest(signature uint64) Request {
	request := r.request()
	request.Signature, request.TargetAt = signature, r.now()+100*time.Millisecond
	return request
}

// returnAll lets the clients return at their times, each at another relay than before, and returns how many are served.
func (f *testFleet) returnAll(clients []refusedClient) (served int) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	senders := f.relays[2:]
	for index, client := range clients {
		group.Go(func() {
			relay := senders[(index+1)%len(senders)]
			time.Sleep(client.returnAt - relay.now())
			if f.serve(relay, relay.urgentRequest(client.signature)).Kind == Granted {
				mutex.Lock()
				defer mutex.Unlock()
				served++
			}
		})
	}
	group.Wait()
	return served
}

// Twice the load: clients that are refused with a promise and return at their time, at another relay, are served, although
// newcomers keep coming at the same rate.
func TestPromisedClientsAreServedAtTwiceTheLoad(t *testing.T) {
	inFleet(t, 10, 3, 2, func(t *testing.T, fleet *testFleet) {
		fleet.serveAtOnce(fleet.relays[2:], 4) // the owner learns the service time
		// 6 slots of 20 ms carry 300 requests a second; one each 1.67 ms is twice that.
		promised, _ := fleet.overload(300*time.Millisecond, 1670*time.Microsecond, 1)
		require.NotEmpty(t, promised)
		served := make(chan int)
		go func() { served <- fleet.returnAll(promised) }()
		fleet.overload(time.Second, 3300*time.Microsecond, 100_000)
		require.GreaterOrEqual(t, <-served*10, len(promised)*9)
	})
}

// The owner dies with promises given. The deputy has got them and must keep them: clients that return at their time are
// served, although newcomers keep coming.
func TestPromisesOutliveTheOwner(t *testing.T) {
	inFleet(t, 10, 3, 2, func(t *testing.T, fleet *testFleet) {
		fleet.serveAtOnce(fleet.relays[2:], 4)
		promised, _ := fleet.overload(300*time.Millisecond, 1670*time.Microsecond, 1)
		require.NotEmpty(t, promised)
		time.Sleep(batchDelay + 2*networkDelay)
		require.NotZero(t, fleet.owner().promisesDue())
		require.Equal(t, fleet.owner().promisesDue(), fleet.deputy().promisesDue())

		fleet.owner().kill()
		served := make(chan int)
		go func() { served <- fleet.returnAll(promised) }()
		fleet.overload(time.Second, 3300*time.Microsecond, 100_000)
		require.GreaterOrEqual(t, <-served*10, len(promised)*8)
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
