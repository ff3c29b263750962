package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// limitedBackEnd is the hash of a back end that sets a limit of limitPerSecond requests a second.
const (
	limitedBackEnd = 4711
	limitPerSecond = 5
)

func namedLimit(perSecond float64) *v1.NamedLimit {
	return &v1.NamedLimit{BackEnd: limitedBackEnd, Named: true, PerSecond: perSecond}
}

// requestPermit sends a gateway's permit request to a controller; the result is nil when that controller does not lead.
func (w *testCluster) requestPermit(controller *testController, gateway string) *v1.TakePermitResponse {
	w.t.Helper()
	answer := w.call(controller, func(id CallID) Input {
		return PermitRequested{Call: id, Request: &v1.TakePermitRequest{Node: &v1.NodeIdentity{Name: gateway}, Limit: namedLimit(limitPerSecond)}}
	})
	if answer.Err != nil {
		return nil
	}
	return answer.Response.(*v1.TakePermitResponse)
}

// Gateways that send permit requests to all controllers all the time get no more permits than the limit allows, and
// at least half of them, while leaders crash in turn. A new leader starts without counts once the previous lease has
// expired.
func TestPermitsOfGatewaysOutliveLeaders(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	w.waitLeader()
	var granted []time.Duration
	began := w.now
	for round := 0; w.now-began < 40*time.Second; round++ {
		for _, name := range w.names {
			if controller := w.controllers[name]; controller.core != nil {
				if response := w.requestPermit(controller, "gateway"); response.GetGranted() {
					granted = append(granted, w.now)
				}
			}
		}
		if leader := w.leader(); round%150 == 149 && leader != nil {
			w.restart(leader)
		}
		w.run(50 * time.Millisecond)
	}
	const window = 4 * time.Second
	tolerated := 1.5*limitPerSecond*window.Seconds() + 5
	first := 0
	for last := range granted {
		for granted[last]-granted[first] > window {
			first++
		}
		require.LessOrEqual(t, float64(last-first+1), tolerated, "at %s", granted[last])
	}
	require.GreaterOrEqual(t, float64(len(granted)), 0.5*limitPerSecond*40)
}

// A deposed leader that does not know that another controller leads grants no permits once its own lease has expired.
func TestAFormerLeaderGrantsNoPermits(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	old, _ := suspendLeader(w)
	require.Nil(t, w.requestPermit(old, "gateway"))
	require.NotNil(t, w.requestPermit(w.waitLeader(), "gateway"))
}

// Gateways get, in the answers to their reports, the limits that other gateways have reported, and the removal of
// limits.
func TestGatewaysAreToldOfLimits(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	report := func(gateway string, reported ...*v1.NamedLimit) []*v1.NamedLimit {
		answer := w.call(w.waitLeader(), func(id CallID) Input {
			return ReportReceived{Call: id, Request: &v1.ReportRequest{Node: &v1.NodeIdentity{Name: gateway}, Limits: reported}}
		})
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.ReportResponse).Limits
	}
	require.Empty(t, report("one"))
	require.Len(t, report("one", namedLimit(2), namedLimit(math.NaN())), 1)
	limits := report("two")
	require.Len(t, limits, 1)
	require.Equal(t, 2.0, limits[0].PerSecond)
	report("one", &v1.NamedLimit{BackEnd: limitedBackEnd})
	limits = report("two")
	require.Len(t, limits, 1, "the removal is sent for a while")
	require.False(t, limits[0].Named)
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return PermitRequested{Call: id, Request: &v1.TakePermitRequest{Node: &v1.NodeIdentity{Name: "two"}, Limit: namedLimit(-1)}}
	})
	require.Error(t, answer.Err)
}

// A relay that connects later gets the limits that other relays own, while those relays report them.
func TestRelaysAreToldOfLimits(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	watch := func(relay string, reported ...*v1.NamedLimit) []*v1.NamedLimit {
		answer := w.call(w.waitLeader(), func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: relay}, WaitMs: 1, Limits: reported}}
		})
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.WatchResponse).Limits
	}
	require.Empty(t, watch("late"))
	watch("keeper", namedLimit(2))
	require.Len(t, watch("late"), 1)
	watch("keeper", &v1.NamedLimit{BackEnd: limitedBackEnd})
	require.Empty(t, watch("late"))
	watch("keeper", namedLimit(2))
	w.run(relayLimitTTL)
	require.Empty(t, watch("late"), "no relay owns the limit any more")
}
