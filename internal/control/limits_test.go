package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// limitedBackEnd is the hash of a back end that names a limit of limitPerSecond.
const (
	limitedBackEnd = 4711
	limitPerSecond = 5
)

func namedLimit(perSecond float64) *v1.NamedLimit {
	return &v1.NamedLimit{BackEnd: limitedBackEnd, Named: true, PerSecond: perSecond}
}

// askPermit has a gateway ask a controller; nil when that does not lead.
func (w *world) askPermit(controller *testController, gateway string) *v1.TakePermitResponse {
	w.t.Helper()
	answer := w.call(controller, func(id CallID) Input {
		return PermitRequested{Call: id, Request: &v1.TakePermitRequest{Node: &v1.NodeIdentity{Name: gateway}, Limit: namedLimit(limitPerSecond)}}
	})
	if answer.Err != nil {
		return nil
	}
	return answer.Response.(*v1.TakePermitResponse)
}

// Gateways that ask all controllers all the time get what the limit allows and no more, while leaders die, are cut off
// and take turns: a new one begins with nothing when the lease of the one before has run out.
func TestPermitsOfGatewaysOutliveLeaders(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.waitLeader()
	var granted []time.Duration
	began := w.now
	for round := 0; w.now-began < 40*time.Second; round++ {
		for _, name := range w.names {
			if controller := w.controllers[name]; controller.core != nil {
				if response := w.askPermit(controller, "gateway"); response.GetGranted() {
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

// A former leader that does not know it yet grants nothing once its lease is over.
func TestAFormerLeaderGrantsNoPermits(t *testing.T) {
	w := newWorld(t, 3, nil)
	old, _ := suspended(w)
	require.Nil(t, w.askPermit(old, "gateway"))
	require.NotNil(t, w.askPermit(w.waitLeader(), "gateway"))
}

// Gateways learn with their reports of limits that others have heard, and of their end.
func TestGatewaysAreToldOfLimits(t *testing.T) {
	w := newWorld(t, 3, nil)
	report := func(gateway string, heard ...*v1.NamedLimit) []*v1.NamedLimit {
		answer := w.call(w.waitLeader(), func(id CallID) Input {
			return ReportReceived{Call: id, Request: &v1.ReportRequest{Node: &v1.NodeIdentity{Name: gateway}, Limits: heard}}
		})
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.ReportResponse).Limits
	}
	require.Empty(t, report("one"))
	require.Len(t, report("one", namedLimit(2), namedLimit(math.NaN())), 1)
	told := report("two")
	require.Len(t, told, 1)
	require.Equal(t, 2.0, told[0].PerSecond)
	report("one", &v1.NamedLimit{BackEnd: limitedBackEnd})
	told = report("two")
	require.Len(t, told, 1, "the end is told for a while")
	require.False(t, told[0].Named)
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return PermitRequested{Call: id, Request: &v1.TakePermitRequest{Node: &v1.NodeIdentity{Name: "two"}, Limit: namedLimit(-1)}}
	})
	require.Error(t, answer.Err)
}

// A relay that comes later is told of limits whose counts others keep, while they are kept.
func TestRelaysAreToldOfLimits(t *testing.T) {
	w := newWorld(t, 3, nil)
	watch := func(relay string, kept ...*v1.NamedLimit) []*v1.NamedLimit {
		answer := w.call(w.waitLeader(), func(id CallID) Input {
			return WatchReceived{Call: id, Request: &v1.WatchRequest{Node: &v1.NodeIdentity{Name: relay}, WaitMs: 1, Limits: kept}}
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
	require.Empty(t, watch("late"), "nobody keeps it any more")
}
