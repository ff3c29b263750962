package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	testService = "matcher"
	testModel   = "base"
	testZone    = "zone-a"
)

// engine returns a back end that a request for testModel may use at time 0.
func engine(name string, role enginecontract.Role, change ...func(*BackEnd)) BackEnd {
	backEnd := BackEnd{
		Name: name, Service: testService, Zone: testZone, Address: "127.0.0.1:1", Incarnation: 1,
		State: enginecontract.StateServing, Role: role, Model: testModel, Version: "1",
	}
	for _, apply := range change {
		apply(&backEnd)
	}
	return backEnd
}

func withState(state enginecontract.ServiceState) func(*BackEnd) {
	return func(b *BackEnd) { b.State = state }
}

func withLoad(load Load) func(*BackEnd) {
	return func(b *BackEnd) { b.Load, b.HasLoad = load, true }
}

func inZone(zone string) func(*BackEnd) { return func(b *BackEnd) { b.Zone = zone } }

func newTestRouter(t testing.TB, backEnds ...BackEnd) *Router {
	t.Helper()
	router, err := New(Config{Zone: testZone, Seed: 1})
	require.NoError(t, err)
	router.SetBackEnds(backEnds)
	return router
}

func request() Request {
	return Request{Service: testService, Model: testModel, PromptTokens: 2000, OutputTokens: 50}
}

// TestPickChoosesOrSaysWhyNot is the contract of Pick with its fault rows.
func TestPickChoosesOrSaysWhyNot(t *testing.T) {
	mixed := enginecontract.RoleMixed
	oldVersion := func(b *BackEnd) { b.Version = "0" }
	withAdapter := func(b *BackEnd) { b.Adapters = []string{"lima"} }
	rows := []struct {
		name     string
		backEnds []BackEnd
		now      time.Duration
		change   func(*Request)
		excluded []string
		want     string
		prefill  string
		err      error
	}{
		{name: "empty directory", err: ErrNoBackEnd},
		{name: "one mixed engine", backEnds: []BackEnd{engine("m1", mixed)}, want: "m1"},
		{name: "other model only", backEnds: []BackEnd{engine("m1", mixed, func(b *BackEnd) { b.Model = "other" })}, err: ErrNoBackEnd},
		{name: "other service only", backEnds: []BackEnd{engine("m1", mixed, func(b *BackEnd) { b.Service = "other" })}, err: ErrNoBackEnd},
		{name: "old version only", backEnds: []BackEnd{engine("m1", mixed, oldVersion)},
			change: func(r *Request) { r.Version = "1" }, err: ErrNoBackEnd},
		{name: "version is chosen", backEnds: []BackEnd{engine("m1", mixed, oldVersion), engine("m2", mixed)},
			change: func(r *Request) { r.Version = "1" }, want: "m2"},
		{name: "adapter not loaded", backEnds: []BackEnd{engine("m1", mixed)},
			change: func(r *Request) { r.Adapter = "lima" }, err: ErrNoBackEnd},
		{name: "adapter is chosen", backEnds: []BackEnd{engine("m1", mixed), engine("m2", mixed, withAdapter)},
			change: func(r *Request) { r.Adapter = "lima" }, want: "m2"},
		{name: "confirmed at the limit", backEnds: []BackEnd{engine("m1", mixed)}, now: ConfirmationLimit, want: "m1"},
		{name: "confirmed too long ago", backEnds: []BackEnd{engine("m1", mixed)}, now: ConfirmationLimit + 1, err: ErrNoneConfirmed},
		{name: "draining", backEnds: []BackEnd{engine("m1", mixed, withState(enginecontract.StateDraining))}, err: ErrNoneConfirmed},
		{name: "changing", backEnds: []BackEnd{engine("m1", mixed, withState(enginecontract.StateChanging))}, err: ErrNoneConfirmed},
		{name: "leaving", backEnds: []BackEnd{engine("m1", mixed, withState(enginecontract.StateLeaving))}, err: ErrNoneConfirmed},
		{name: "failed this request", backEnds: []BackEnd{engine("m1", mixed)}, excluded: []string{"m1"}, err: ErrAllExcluded},
		{name: "another after a failure", backEnds: []BackEnd{engine("m1", mixed), engine("m2", mixed)}, excluded: []string{"m1"}, want: "m2"},
		{name: "deadline cannot be met", backEnds: []BackEnd{engine("m1", mixed)},
			change: func(r *Request) { r.Deadline = time.Millisecond }, err: ErrInfeasible},
		{name: "pair", backEnds: []BackEnd{engine("p1", enginecontract.RolePrefill), engine("d1", enginecontract.RoleDecode)},
			want: "d1", prefill: "p1"},
		{name: "pair shares a zone", backEnds: []BackEnd{
			engine("p1", enginecontract.RolePrefill, inZone("zone-b")),
			engine("d1", enginecontract.RoleDecode, inZone("zone-c")),
			engine("d2", enginecontract.RoleDecode, inZone("zone-b"))}, want: "d2", prefill: "p1"},
		{name: "half a pair", backEnds: []BackEnd{engine("p1", enginecontract.RolePrefill)}, err: ErrNoBackEnd},
		{name: "half a pair falls back to mixed", backEnds: []BackEnd{engine("p1", enginecontract.RolePrefill), engine("m1", mixed)}, want: "m1"},
		{name: "after a failed hand-over the decode engine reads the prompt",
			backEnds: []BackEnd{engine("p1", enginecontract.RolePrefill), engine("d1", enginecontract.RoleDecode)},
			change:   func(r *Request) { r.WholeOnly = true }, want: "d1"},
		{name: "without prefill engines the decode engine reads the prompt",
			backEnds: []BackEnd{engine("d1", enginecontract.RoleDecode)}, want: "d1"},
		{name: "page service", backEnds: []BackEnd{engine("w1", "", func(b *BackEnd) { b.Model = "" })},
			change: func(r *Request) { r.Model, r.PromptTokens, r.OutputTokens = "", 0, 0 }, want: "w1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			router := newTestRouter(t, row.backEnds...)
			request := request()
			if row.change != nil {
				row.change(&request)
			}
			choice, err := router.Pick(row.now, request, row.excluded)
			if row.err != nil {
				var pickError *PickError
				require.ErrorAs(t, err, &pickError)
				require.ErrorIs(t, err, row.err)
				require.Positive(t, pickError.RetryAfter)
				return
			}
			require.NoError(t, err)
			require.Equal(t, row.want, choice.BackEnd.Name)
			prefill := ""
			if choice.Prefill != nil {
				prefill = choice.Prefill.Name
			}
			require.Equal(t, row.prefill, prefill)
		})
	}
}

func TestOwnAnswersOverrideTheDirectory(t *testing.T) {
	second := time.Second
	answered := func(state enginecontract.ServiceState) Answered {
		return Answered{BackEnd: "m1", Incarnation: 1, State: state}
	}
	confirmed := func(at time.Duration) BackEnd {
		return engine("m1", enginecontract.RoleMixed, func(b *BackEnd) { b.ConfirmedAt = at })
	}
	rows := []struct {
		name string
		do   func(*Router)
		now  time.Duration
		err  error
	}{
		{name: "answer keeps it confirmed", now: 6 * second,
			do: func(r *Router) { r.Observe(3*second, answered(enginecontract.StateServing)) }},
		{name: "a late answer confirms as of the sending", now: 6 * second, err: ErrNoneConfirmed,
			do: func(r *Router) {
				r.Observe(second, Sent{BackEnd: "m1", Exchange: "late"})
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
				r.Observe(second, Answered{BackEnd: "m1", Incarnation: 3, State: enginecontract.StateLeaving})
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
				r.Observe(second, Answered{BackEnd: "m1", Incarnation: 1, Role: enginecontract.RolePrefill})
			}},
		{name: "unknown back end is ignored", now: 0,
			do: func(r *Router) { r.Observe(0, Failed{BackEnd: "gone", Exchange: "x"}) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			router := newTestRouter(t, confirmed(0))
			row.do(router)
			_, err := router.Pick(row.now, request(), nil)
			require.ErrorIs(t, err, row.err)
		})
	}
}

func TestFailedBackEndIsAvoidedWhileAnotherServes(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed), engine("m2", enginecontract.RoleMixed))
	router.Observe(0, Failed{BackEnd: "m1", Exchange: "x"})
	for range 50 {
		choice, err := router.Pick(0, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	choice, err := router.Pick(0, request(), []string{"m2"})
	require.NoError(t, err, "a back end that is cooling down is better than none")
	require.Equal(t, "m1", choice.BackEnd.Name)
}

func TestLoadIsCorrectedByOwnWork(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed, withLoad(Load{Running: 4})))
	m1 := router.candidates["m1"]
	load := func() loadEstimate { return m1.othersLoad().plus(m1.ownLoad()) }
	for i := range 3 {
		router.Observe(time.Second, Sent{BackEnd: "m1", Exchange: fmt.Sprint(i), PromptTokens: 100})
	}
	require.Equal(t, loadEstimate{requests: 7, unreadTokens: 300}, load())

	router.Observe(2*time.Second, Answered{BackEnd: "m1", Load: &Load{Running: 7}, Age: 500 * time.Millisecond})
	require.Equal(t, loadEstimate{requests: 7}, load(), "the report covers what was sent before it was measured")

	router.Observe(3*time.Second, Finished{BackEnd: "m1", Exchange: "1"})
	require.Equal(t, loadEstimate{requests: 6}, load(), "the report still counts the finished one")

	router.Observe(4*time.Second, Answered{BackEnd: "m1", Load: &Load{Running: 6}})
	require.Equal(t, loadEstimate{requests: 6}, load())
}

// TestUnreadPromptsAreLearned: own requests are known to be read at their first
// token, and others' are taken to be like them.
func TestUnreadPromptsAreLearned(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed, withLoad(Load{Running: 4})))
	m1 := router.candidates["m1"]
	load := func() loadEstimate { return m1.othersLoad().plus(m1.ownLoad()) }
	send := func(exchange string) {
		router.Observe(0, Sent{BackEnd: "m1", Exchange: exchange, PromptTokens: 1000})
	}
	send("a")
	router.Observe(time.Second, FirstToken{BackEnd: "m1", Exchange: "a"})
	router.Observe(4*time.Second, Finished{BackEnd: "m1", Exchange: "a"})
	require.Equal(t, loadEstimate{requests: 4, unreadTokens: 4 * 250}, load(), "a quarter of its time a request is unread")

	send("b")
	router.Observe(5*time.Second, Answered{BackEnd: "m1", Load: &Load{Running: 5}})
	require.Equal(t, loadEstimate{requests: 5, unreadTokens: 4*250 + 1000}, load())
	router.Observe(6*time.Second, FirstToken{BackEnd: "m1", Exchange: "b"})
	require.Equal(t, loadEstimate{requests: 5, unreadTokens: 4 * 250}, load(), "the own prompt is read")
}

// TestOldReportsCountLess: of two back ends whose reports are old, the one that was
// idle then is hardly preferred.
func TestOldReportsCountLess(t *testing.T) {
	busy := engine("m1", enginecontract.RoleMixed, withLoad(Load{WaitingPromptTokens: 100_000}))
	router := newTestRouter(t, busy, engine("m2", enginecontract.RoleMixed, withLoad(Load{})))
	difference := func(now time.Duration) float64 {
		_, err := router.Pick(now, request(), nil)
		require.NoError(t, err)
		return router.candidates["m1"].load.unreadTokens - router.candidates["m2"].load.unreadTokens
	}
	require.InDelta(t, 100_000, difference(0), 1)
	require.InDelta(t, 50_000, difference(loadHalfLife), 1)
	require.InDelta(t, 100_000/256.0, difference(ConfirmationLimit), 1)
}

// TestHomeShareIsLearned from answers of requests that were sent to a home.
func TestHomeShareIsLearned(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed))
	run := func(home bool, cached int) {
		router.Observe(0, Sent{BackEnd: "m1", Exchange: "x", PromptTokens: 1000, Home: home})
		router.Observe(0, Finished{BackEnd: "m1", Exchange: "x", PromptTokens: 1000, CachedTokens: cached})
	}
	for range 300 {
		run(false, 1000)
		run(true, 100)
	}
	require.InDelta(t, 0.1, float64(router.prefixes.homeShare), 0.01)
}

func TestPickErrorNamesOnlyTheService(t *testing.T) {
	router := newTestRouter(t)
	_, err := router.Pick(0, request(), nil)
	var pickError *PickError
	require.True(t, errors.As(err, &pickError))
	require.Equal(t, `service "matcher": no back end serves this model`, err.Error())
}
