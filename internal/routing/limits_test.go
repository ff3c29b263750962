package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

var oneASecond = backpressure.Limit{IsSet: true, PerSecond: 1}

// A back end whose limit leaves no room is not picked until it is asked for again, also where it is the only one left.
func TestABackEndWithoutRoomIsNotPicked(t *testing.T) {
	limited := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, limited, engine("m2", enginecontract.RoleMixed))
	_, needed := router.PermitRequest(limited)
	require.False(t, needed)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	ask, needed := router.PermitRequest(limited)
	require.True(t, needed)
	require.Equal(t, oneASecond, ask.Limit)
	require.True(t, ask.LimitFromBackEnd)
	router.ApplyPermitAnswer(0, limited, fleetlimit.PermitResponse{Wait: 3 * second, Limit: oneASecond}, true)
	for range 50 {
		choice, err := router.Pick(2*second, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	router.SetBackEnds([]BackEnd{limited})
	_, err := router.Pick(2*second, request(), nil)
	require.ErrorIs(t, err, ErrAllLimited)
	var fault *PickError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, second, fault.RetryAfter)
	_, err = router.Pick(3*second, request(), nil)
	require.NoError(t, err)
}

// What was heard is told until the leader has it; what the leader tells does not replace what it has not been told.
func TestLimitsAreToldToTheLeader(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, row)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	heard := router.UnreportedLimits()
	require.Len(t, heard, 1)
	router.ApplyLimits(second, []fleetlimit.BackEndLimit{{BackEnd: heard[0].BackEnd}})
	_, needed := router.PermitRequest(row)
	require.True(t, needed)
	router.MarkLimitsReported(heard)
	require.Empty(t, router.UnreportedLimits())
	router.ApplyLimits(second, []fleetlimit.BackEndLimit{{BackEnd: heard[0].BackEnd}})
	_, needed = router.PermitRequest(row)
	require.False(t, needed)
}

// A limit belongs to one incarnation.
func TestALimitBelongsToOneIncarnation(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	next := engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.Incarnation = 2 })
	router := newTestRouter(t, row)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	router.SetBackEnds([]BackEnd{next})
	_, needed := router.PermitRequest(next)
	require.False(t, needed)
}
