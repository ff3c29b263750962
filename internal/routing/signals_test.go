package routing

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// backoffAnswer returns an answer in which a back end asks for backoff.
func backoffAnswer(name string, incarnation uint64, backoff time.Duration) AnswerHeaders {
	return AnswerHeaders{BackEnd: name, Incarnation: incarnation, Backoff: backoff}
}

// A back end in backoff gets no requests, even if it is the only one left and the others have been tried.
func TestABackEndThatRestsIsNotPicked(t *testing.T) {
	only := engine("m1", enginecontract.RoleMixed)
	router := newTestRouter(t, only, engine("m2", enginecontract.RoleMixed))
	router.Observe(0, backoffAnswer("m1", 1, 3*second))
	for range 50 {
		choice, err := router.Pick(2*second, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	_, err := router.Pick(2*second, request(), []string{"m2"})
	require.ErrorIs(t, err, ErrAllExcluded, "the other back end has been tried")

	router.SetBackEnds([]BackEnd{only})
	_, err = router.Pick(2*second, request(), nil)
	require.ErrorIs(t, err, ErrAllInBackoff)
	var pickError *PickError
	require.ErrorAs(t, err, &pickError)
	require.Equal(t, second, pickError.RetryAfter)
	_, err = router.Pick(3*second, request(), nil)
	require.NoError(t, err, "the backoff has ended")
}

// Backoff and leaving outlive a back end's absence from the directory and end with its incarnation.
func TestRestAndLeavingBelongToOneIncarnation(t *testing.T) {
	row := engine("m1", enginecontract.RoleMixed)
	next := engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.Incarnation = 2 })
	for name, answer := range map[string]AnswerHeaders{
		"rest":    backoffAnswer("m1", 1, 3*second),
		"leaving": {BackEnd: "m1", Incarnation: 1, State: enginecontract.StateLeaving},
	} {
		router := newTestRouter(t, row)
		router.Observe(0, answer)
		router.SetBackEnds(nil)
		router.SetBackEnds([]BackEnd{row})
		_, err := router.Pick(second, request(), nil)
		require.Error(t, err, name)
		router.SetBackEnds([]BackEnd{next})
		_, err = router.Pick(second, request(), nil)
		require.NoError(t, err, name)
	}
	router := newTestRouter(t, row)
	router.Observe(0, backoffAnswer("m1", 1, 3*second))
	router.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 2, State: enginecontract.StateServing})
	_, err := router.Pick(second, request(), nil)
	require.NoError(t, err, "an answer of a new incarnation ends the backoff")
}

// Signals of former incarnations do not accumulate.
func TestSignalsOfFormerIncarnationsAreDropped(t *testing.T) {
	router := newTestRouter(t)
	for number := range 10 * spareSignals {
		router.SetBackEnds([]BackEnd{engine("m"+strconv.Itoa(number), enginecontract.RoleMixed)})
		router.Confirm(time.Duration(number) * second)
	}
	require.LessOrEqual(t, router.signals.Len(), spareSignals+3)
}

// A restart that appears in the directory or in an answer is reported once.
func TestRestartIsReportedOnce(t *testing.T) {
	var restarted []uint64
	router, err := New(Config{Zone: testZone, OnRestart: func(previous BackEnd) { restarted = append(restarted, previous.Incarnation) }})
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
	require.Equal(t, []uint64{1, 2}, restarted)
	require.True(t, router.HasRestarted(row(2)))
	require.False(t, router.HasRestarted(row(3)))
	require.False(t, router.HasRestarted(engine("unknown", enginecontract.RoleMixed)))
}
