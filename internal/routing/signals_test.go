package routing

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// rests tells that a back end has asked for rest.
func rests(name string, incarnation uint64, rest time.Duration) AnswerHeaders {
	return AnswerHeaders{BackEnd: name, Incarnation: incarnation, Backoff: rest}
}

// A back end that has asked for rest is sent nothing until it is over, also where it is the only one left and
// others have been tried.
func TestABackEndThatRestsIsNotPicked(t *testing.T) {
	only := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, only, engine("m2", enginecontract.RoleMixed))
	router.Observe(0, rests("m1", 1, 3*second))
	for range 50 {
		choice, err := router.Pick(2*second, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	_, err := router.Pick(2*second, request(), []string{"m2"})
	require.ErrorIs(t, err, ErrAllExcluded, "the other one has been tried")

	router.SetBackEnds([]BackEnd{only})
	_, err = router.Pick(2*second, request(), nil)
	require.ErrorIs(t, err, ErrAllInBackoff)
	var fault *PickError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, second, fault.RetryAfter)
	_, err = router.Pick(3*second, request(), nil)
	require.NoError(t, err, "the rest is over")
}

// What a back end asked for outlives its absence from the directory, and ends with its incarnation.
func TestRestAndLeavingBelongToOneIncarnation(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	next := engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.Incarnation = 2 })
	for name, asked := range map[string]AnswerHeaders{
		"rest":    rests("m1", 1, 3*second),
		"leaving": {BackEnd: "m1", Incarnation: 1, State: enginecontract.StateLeaving},
	} {
		router := newTestRouter(t, row)
		router.Observe(0, asked)
		router.SetBackEnds(nil)
		router.SetBackEnds([]BackEnd{row})
		_, err := router.Pick(second, request(), nil)
		require.Error(t, err, name)
		router.SetBackEnds([]BackEnd{next})
		_, err = router.Pick(second, request(), nil)
		require.NoError(t, err, name)
	}
	router := newTestRouter(t, row)
	router.Observe(0, rests("m1", 1, 3*second))
	router.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 2, State: enginecontract.StateServing})
	_, err := router.Pick(second, request(), nil)
	require.NoError(t, err, "its own word of another start")
}

// Incarnations that are gone do not pile up.
func TestSignalsOfFormerIncarnationsAreForgotten(t *testing.T) {
	router := newTestRouter(t)
	for start := range 10 * sparedSignals {
		router.SetBackEnds([]BackEnd{engine("m"+strconv.Itoa(start), enginecontract.RoleMixed)})
		router.Confirm(time.Duration(start) * second)
	}
	require.LessOrEqual(t, router.signals.Len(), sparedSignals+3)
}

// A later incarnation, shown by the directory or told in an answer, ends the former one.
func TestALaterIncarnationEndsTheFormerOne(t *testing.T) {
	var ended []uint64
	router, err := New(Config{Zone: testZone, OnRestart: func(former BackEnd) { ended = append(ended, former.Incarnation) }})
	require.NoError(t, err)
	row := func(incarnation uint64) BackEnd {
		return engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.Incarnation = incarnation })
	}
	router.SetBackEnds([]BackEnd{row(1)})
	require.False(t, router.HasRestarted(row(1)))
	router.SetBackEnds([]BackEnd{row(2)})
	router.Observe(0, AnswerHeaders{BackEnd: "m1", Incarnation: 3})
	router.SetBackEnds([]BackEnd{row(2)})
	router.SetBackEnds([]BackEnd{row(3)})
	require.Equal(t, []uint64{1, 2}, ended)
	require.True(t, router.HasRestarted(row(2)))
	require.False(t, router.HasRestarted(row(3)))
	require.False(t, router.HasRestarted(engine("unknown", enginecontract.RoleMixed)))
}
