package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const mixed = enginecontract.RoleMixed

func withOldVersion(b *BackEnd) { b.Version = "0" }

func withAdapter(b *BackEnd) { b.Adapters = []string{"lima"} }

// pickRow is a directory, a request and the expected result of Pick.
type pickRow struct {
	name     string
	backEnds []BackEnd
	now      time.Duration
	change   func(*Request)
	excluded []string
	want     string
	prefill  string
	err      error
}

var pickRows = []pickRow{
	{name: "empty directory", err: ErrNoBackEnd},
	{name: "one mixed engine", backEnds: []BackEnd{engine("m1", mixed)}, want: "m1"},
	{name: "other model only", backEnds: []BackEnd{engine("m1", mixed, func(b *BackEnd) { b.Model = "other" })}, err: ErrNoBackEnd},
	{name: "other service only", backEnds: []BackEnd{engine("m1", mixed, func(b *BackEnd) { b.Service = "other" })}, err: ErrNoBackEnd},
	{name: "old version only", backEnds: []BackEnd{engine("m1", mixed, withOldVersion)},
		change: func(r *Request) { r.Version = "1" }, err: ErrNoBackEnd},
	{name: "version is chosen", backEnds: []BackEnd{engine("m1", mixed, withOldVersion), engine("m2", mixed)},
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
	{name: "after a failed KV transfer the decode engine prefills the prompt",
		backEnds: []BackEnd{engine("p1", enginecontract.RolePrefill), engine("d1", enginecontract.RoleDecode)},
		change:   func(r *Request) { r.WholeOnly = true }, want: "d1"},
	{name: "without prefill engines the decode engine prefills the prompt",
		backEnds: []BackEnd{engine("d1", enginecontract.RoleDecode)}, want: "d1"},
	{name: "page service", backEnds: []BackEnd{engine("w1", "", func(b *BackEnd) { b.Model = "" })},
		change: func(r *Request) { r.Model, r.PromptTokens, r.OutputTokens = "", 0, 0 }, want: "w1"},
}

// Pick returns a matching choice, or a PickError with the reason and a retry time.
func TestPickReturnsChoiceOrReason(t *testing.T) {
	for _, row := range pickRows {
		t.Run(row.name, row.check)
	}
}

func (row pickRow) check(t *testing.T) {
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
}

func TestFailedBackEndIsAvoidedWhileOthersServe(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed), engine("m2", enginecontract.RoleMixed))
	router.Observe(0, Failure{BackEnd: "m1", Exchange: "x"})
	for range 50 {
		choice, err := router.Pick(0, request(), nil)
		require.NoError(t, err)
		require.Equal(t, "m2", choice.BackEnd.Name)
	}
	choice, err := router.Pick(0, request(), []string{"m2"})
	require.NoError(t, err, "a back end in its cooldown is better than none")
	require.Equal(t, "m1", choice.BackEnd.Name)
}

func TestPickErrorNamesOnlyTheService(t *testing.T) {
	router := newTestRouter(t)
	_, err := router.Pick(0, request(), nil)
	var pickError *PickError
	require.True(t, errors.As(err, &pickError))
	require.Equal(t, `service "matcher": no back end serves this model`, err.Error())
}
