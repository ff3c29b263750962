package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const second = time.Second

func answered(state enginecontract.ServiceState) AnswerHeaders {
	return AnswerHeaders{BackEnd: "m1", Incarnation: 1, State: state}
}

func confirmed(at time.Duration) BackEnd {
	return engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.ConfirmedAt = at })
}

// ownAnswerRows are what a router has heard of the only engine, which the directory
// confirmed at 0, and whether it may be picked then.
var ownAnswerRows = []struct {
	name string
	do   func(*Router)
	now  time.Duration
	err  error
}{
	{name: "answer keeps it confirmed", now: 6 * second,
		do: func(r *Router) { r.Observe(3*second, answered(enginecontract.StateServing)) }},
	{name: "a late answer confirms as of the sending", now: 6 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			r.Observe(second, Dispatch{BackEnd: "m1", Exchange: "late"})
			late := answered(enginecontract.StateServing)
			late.Exchange = "late"
			r.Observe(5*second, late)
		}},
	{name: "draining stops new work at once", now: second, err: ErrNoneConfirmed,
		do: func(r *Router) { r.Observe(second, answered(enginecontract.StateDraining)) }},
	{name: "older directory does not undo draining", now: 3 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			r.Observe(2*second, answered(enginecontract.StateDraining))
			r.SetBackEnds([]BackEnd{confirmed(second)})
		}},
	{name: "newer directory ends draining", now: 5 * second,
		do: func(r *Router) {
			r.Observe(2*second, answered(enginecontract.StateDraining))
			r.SetBackEnds([]BackEnd{confirmed(4 * second)})
		}},
	{name: "leaving lasts whatever the directory says", now: 3 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			r.Observe(second, answered(enginecontract.StateLeaving))
			r.SetBackEnds([]BackEnd{confirmed(3 * second)})
			r.Observe(3*second, answered(enginecontract.StateServing))
		}},
	{name: "leaving ends with a new incarnation", now: 3 * second,
		do: func(r *Router) {
			r.Observe(second, answered(enginecontract.StateLeaving))
			next := confirmed(3 * second)
			next.Incarnation = 2
			r.SetBackEnds([]BackEnd{next})
		}},
	{name: "answer of an older incarnation counts for nothing", now: 5 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			r.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 3, State: enginecontract.StateLeaving})
			r.Observe(2*second, answered(enginecontract.StateServing))
		}},
	{name: "leaving counts without an incarnation", now: 3 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			listed := engine("m1", enginecontract.RoleMixed, withState(enginecontract.StateLeaving))
			listed.Incarnation = 0
			r.SetBackEnds([]BackEnd{listed})
			r.Confirm(3 * second)
		}},
	{name: "an older reading does not undo leaving", now: 5 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			leaving := confirmed(4 * second)
			leaving.State = enginecontract.StateLeaving
			r.SetBackEnds([]BackEnd{leaving})
			r.SetBackEnds([]BackEnd{confirmed(3 * second)})
		}},
	{name: "a row of an earlier incarnation confirms nothing", now: 6 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			next := confirmed(second)
			next.Incarnation = 2
			r.SetBackEnds([]BackEnd{next})
			r.SetBackEnds([]BackEnd{confirmed(5 * second)})
			r.Confirm(6 * second)
		}},
	{name: "directory confirmed without change", now: 6 * second,
		do: func(r *Router) { r.Confirm(3 * second) }},
	{name: "own serving does not overrule the directory", now: 2 * second, err: ErrNoneConfirmed,
		do: func(r *Router) {
			r.SetBackEnds([]BackEnd{engine("m1", enginecontract.RoleMixed, withState(enginecontract.StateLeaving))})
			r.Observe(second, answered(enginecontract.StateServing))
		}},
	{name: "own serving ends draining", now: 2 * second,
		do: func(r *Router) {
			r.Observe(second, answered(enginecontract.StateDraining))
			r.Observe(2*second, answered(enginecontract.StateServing))
		}},
	{name: "role seen in an answer counts at once", now: 2 * second, err: ErrNoBackEnd,
		do: func(r *Router) {
			r.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Role: enginecontract.RolePrefill})
		}},
	{name: "unknown back end is ignored", now: 0,
		do: func(r *Router) { r.Observe(0, Failure{BackEnd: "gone", Exchange: "x"}) }},
}

func TestOwnAnswersOverrideTheDirectory(t *testing.T) {
	for _, row := range ownAnswerRows {
		t.Run(row.name, func(t *testing.T) {
			router := newTestRouter(t, confirmed(0))
			row.do(router)
			_, err := router.Pick(row.now, request(), nil)
			require.ErrorIs(t, err, row.err)
		})
	}
}
