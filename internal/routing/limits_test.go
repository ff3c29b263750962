package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

var oneASecond = backpressure.Limit{IsSet: true, PerSecond: 1}

// A back end whose limit leaves no room is not picked until its wait has ended, even if no other is left.
func TestABackEndWithoutRoomIsNotPicked(t *testing.T) {
	limited := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, limited, engine("m2", enginecontract.RoleMixed))
	_, needed := router.PermitRequest(limited)
	require.False(t, needed)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	query, needed := router.PermitRequest(limited)
	require.True(t, needed)
	require.Equal(t, oneASecond, query.Limit)
	require.True(t, query.LimitFromBackEnd)
	router.ApplyPermitAnswer(0, limited, fleetlimit.PermitResponse{Wait: 3 * second, Limit: oneASecond}, true)
	for range 50 {
		choice, err := router.Pick(2*second, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	router.SetBackEnds([]BackEnd{limited})
	_, err := router.Pick(2*second, request(), nil)
	require.ErrorIs(t, err, ErrAllLimited)
	var pickError *PickError
	require.ErrorAs(t, err, &pickError)
	require.Equal(t, second, pickError.RetryAfter)
	_, err = router.Pick(3*second, request(), nil)
	require.NoError(t, err)
}

// A limit is reported until the leader has it. A limit from the leader does not replace one that is not reported yet.
func TestLimitsAreReportedToTheLeader(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, row)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	unreported := router.UnreportedLimits()
	require.Len(t, unreported, 1)
	router.ApplyLimits(second, []fleetlimit.BackEndLimit{{BackEnd: unreported[0].BackEnd}})
	_, needed := router.PermitRequest(row)
	require.True(t, needed)
	router.MarkLimitsReported(unreported)
	require.Empty(t, router.UnreportedLimits())
	router.ApplyLimits(second, []fleetlimit.BackEndLimit{{BackEnd: unreported[0].BackEnd}})
	_, needed = router.PermitRequest(row)
	require.False(t, needed)
}

// A back end's limit ends with the incarnation that set it.
func TestALimitBelongsToOneIncarnation(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	next := engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.Incarnation = 2 })
	router := newTestRouter(t, row)
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Limit: &oneASecond})
	router.SetBackEnds([]BackEnd{next})
	_, needed := router.PermitRequest(next)
	require.False(t, needed)
}
