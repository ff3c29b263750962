package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const second = time.Second

func answerWithState(state enginecontract.ServiceState) AnswerHeaders {
	return AnswerHeaders{BackEnd: "m1", Incarnation: 1, State: state}
}

func confirmedBackEnd(at time.Duration) BackEnd {
	return engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.ConfirmedAt = at })
}

// ownAnswerRows list observations of the only engine, which the directory confirmed at time 0, and the result of
// a pick after them.
var ownAnswerRows = []struct {
	name string
	act  func(*Router)
	now  time.Duration
	err  error
}{
	{name: "answer confirms the back end", now: 6 * second,
		act: func(r *Router) { r.Observe(3*second, answerWithState(enginecontract.StateServing)) }},
	{name: "a late answer confirms as of its dispatch", now: 6 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			r.Observe(second, Dispatch{BackEnd: "m1", Exchange: "late"})
			late := answerWithState(enginecontract.StateServing)
			late.Exchange = "late"
			r.Observe(5*second, late)
		}},
	{name: "draining stops new work at once", now: second, err: ErrNoneConfirmed,
		act: func(r *Router) { r.Observe(second, answerWithState(enginecontract.StateDraining)) }},
	{name: "older directory does not undo draining", now: 3 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			r.Observe(2*second, answerWithState(enginecontract.StateDraining))
			r.SetBackEnds([]BackEnd{confirmedBackEnd(second)})
		}},
	{name: "newer directory ends draining", now: 5 * second,
		act: func(r *Router) {
			r.Observe(2*second, answerWithState(enginecontract.StateDraining))
			r.SetBackEnds([]BackEnd{confirmedBackEnd(4 * second)})
		}},
	{name: "the directory does not undo leaving", now: 3 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			r.Observe(second, answerWithState(enginecontract.StateLeaving))
			r.SetBackEnds([]BackEnd{confirmedBackEnd(3 * second)})
			r.Observe(3*second, answerWithState(enginecontract.StateServing))
		}},
	{name: "leaving ends with a new incarnation", now: 3 * second,
		act: func(r *Router) {
			r.Observe(second, answerWithState(enginecontract.StateLeaving))
			next := confirmedBackEnd(3 * second)
			next.Incarnation = 2
			r.SetBackEnds([]BackEnd{next})
		}},
	{name: "answer of an older incarnation is ignored", now: 5 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			r.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 3, State: enginecontract.StateLeaving})
			r.Observe(2*second, answerWithState(enginecontract.StateServing))
		}},
	{name: "leaving applies without an incarnation", now: 3 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			listed := engine("m1", enginecontract.RoleMixed, withState(enginecontract.StateLeaving))
			listed.Incarnation = 0
			r.SetBackEnds([]BackEnd{listed})
			r.Confirm(3 * second)
		}},
	{name: "an older directory row does not undo leaving", now: 5 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			leaving := confirmedBackEnd(4 * second)
			leaving.State = enginecontract.StateLeaving
			r.SetBackEnds([]BackEnd{leaving})
			r.SetBackEnds([]BackEnd{confirmedBackEnd(3 * second)})
		}},
	{name: "a row of an earlier incarnation confirms nothing", now: 6 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			next := confirmedBackEnd(second)
			next.Incarnation = 2
			r.SetBackEnds([]BackEnd{next})
			r.SetBackEnds([]BackEnd{confirmedBackEnd(5 * second)})
			r.Confirm(6 * second)
		}},
	{name: "directory confirmed without change", now: 6 * second,
		act: func(r *Router) { r.Confirm(3 * second) }},
	{name: "reported serving does not override the directory", now: 2 * second, err: ErrNoneConfirmed,
		act: func(r *Router) {
			r.SetBackEnds([]BackEnd{engine("m1", enginecontract.RoleMixed, withState(enginecontract.StateLeaving))})
			r.Observe(second, answerWithState(enginecontract.StateServing))
		}},
	{name: "reported serving ends draining", now: 2 * second,
		act: func(r *Router) {
			r.Observe(second, answerWithState(enginecontract.StateDraining))
			r.Observe(2*second, answerWithState(enginecontract.StateServing))
		}},
	{name: "role in an answer applies at once", now: 2 * second, err: ErrNoBackEnd,
		act: func(r *Router) {
			r.Observe(second, AnswerHeaders{BackEnd: "m1", Incarnation: 1, Role: enginecontract.RolePrefill})
		}},
	{name: "unknown back end is ignored", now: 0,
		act: func(r *Router) { r.Observe(0, Failure{BackEnd: "gone", Exchange: "x"}) }},
}

func TestOwnAnswersOverrideTheDirectory(t *testing.T) {
	for _, row := range ownAnswerRows {
		t.Run(row.name, func(t *testing.T) {
			router := newTestRouter(t, confirmedBackEnd(0))
			row.act(router)
			_, err := router.Pick(row.now, request(), nil)
			require.ErrorIs(t, err, row.err)
		})
	}
}
