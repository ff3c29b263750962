package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	handOverTokens = 20
	// standInSpeed makes the stand-in engines fast enough for tests.
	standInSpeed = 5
)

// once enables a fault for one request.
func once(kind fault.Kind, tokens int) []fault.Fault {
	return []fault.Fault{{Kind: kind, Count: 1, Tokens: tokens, DelayMs: 5000}}
}

// kvTransferRow is one fault while one engine runs the prefill and another one decodes. There are one prefill engine
// and two decode engines; both decode engines have the same faults.
type kvTransferRow struct {
	name            string
	kind            string // default matching, which is repeatable
	prefill, decode []fault.Fault
	// prefillDown stops the prefill engine before the request; prefillCrashes stops it once a
	// decode engine has received the request and before it fetches the cache.
	prefillDown, prefillCrashes bool
	isComplete                  bool
	status                      int
	verdict                     verdict.Verdict
	// prefilled, imported and started are the runs at all engines together, as engine.Totals counts them; prefilled is an
	// upper bound unless the answer is complete after an import.
	prefilled, imported, started int
}

var handOverRows = []kvTransferRow{
	{name: "no fault", isComplete: true, prefilled: 1, imported: 1, started: 1},
	{name: "no fault, non-repeatable kind", kind: "once", isComplete: true, prefilled: 1, imported: 1, started: 1},
	{name: "prefill engine refuses", prefill: once(fault.Refuse, 0), isComplete: true, started: 1},
	{name: "prefill engine refuses, non-repeatable kind", kind: "once", prefill: once(fault.Refuse, 0), isComplete: true, started: 1},
	{name: "prefill engine is down", prefillDown: true, isComplete: true, started: 1},
	{name: "prefill engine is down, non-repeatable kind", kind: "once", prefillDown: true, isComplete: true, started: 1},
	{name: "export's answer is lost", prefill: once(fault.LoseAnswer, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "export's answer is lost, non-repeatable kind", kind: "once", prefill: once(fault.LoseAnswer, 0),
		status: 502, verdict: verdict.MayHaveRun, prefilled: 1},
	{name: "export's answer is another exchange's", prefill: once(fault.WrongEcho, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "export's answer is another exchange's, non-repeatable kind", kind: "once", prefill: once(fault.WrongEcho, 0),
		status: 502, verdict: verdict.MayHaveRun, prefilled: 1},
	{name: "export fails", prefill: once(fault.Error, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "export fails, non-repeatable kind", kind: "once", prefill: once(fault.Error, 0), status: 502, verdict: verdict.MayHaveRun, prefilled: 1},
	{name: "export stalls", kind: "brisk", prefill: once(fault.Late, 0), isComplete: true, started: 1},
	{name: "fetch of the cache fails", prefill: once(fault.FailExport, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "fetch of the cache fails, non-repeatable kind", kind: "once", prefill: once(fault.FailExport, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "handle is lost", prefill: once(fault.LoseHandle, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "handle belongs to another tenant", prefill: once(fault.ForeignHandle, 0), isComplete: true, prefilled: 1, started: 1},
	{name: "prefill engine crashes before the fetch", decode: []fault.Fault{{Kind: fault.Late, Count: 1, DelayMs: 2000}}, prefillCrashes: true, isComplete: true, prefilled: 1, started: 1},
	{name: "decode engines refuse", decode: once(fault.Refuse, 0), status: 502, verdict: verdict.MayHaveRun, prefilled: 2},
	{name: "decode engine's answer is lost, exchange continues", decode: once(fault.LoseAnswer, 0), isComplete: true, prefilled: 1, imported: 1, started: 1},
	{name: "stream of the decode engine is cut, exchange continues", decode: once(fault.Cut, 7), isComplete: true, prefilled: 1, imported: 1, started: 1},
	{name: "stream of the decode engine is cut, non-repeatable kind", kind: "once", decode: once(fault.Cut, 7), isComplete: true, prefilled: 1, imported: 1, started: 1},
}

func TestKVTransfer(t *testing.T) {
	t.Parallel()
	for _, row := range handOverRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			row.check(t)
		})
	}
}

// startStandIn starts a stand-in engine.
func startStandIn(t testing.TB, name string, role enginecontract.Role, faults ...fault.Fault) *engine.Engine {
	started, err := engine.Start(engine.Config{
		Name: name, Service: "engines", Zone: "z1", Address: ownAddress(), Role: role, Model: "base", Version: "v1",
		Adapters: []string{"tuned"}, Profile: enginemodel.DefaultProfile().Faster(standInSpeed), Faults: faults,
	})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

func (row kvTransferRow) check(t *testing.T) {
	prefill := startStandIn(t, "p1", enginecontract.RolePrefill, row.prefill...)
	decodes := []*engine.Engine{
		startStandIn(t, "d1", enginecontract.RoleDecode, row.decode...), startStandIn(t, "d2", enginecontract.RoleDecode, row.decode...),
	}
	controller := startController(t, engineBackEnd("p1", prefill.Address(), v1.Role_ROLE_PREFILL),
		engineBackEnd("d1", decodes[0].Address(), v1.Role_ROLE_DECODE), engineBackEnd("d2", decodes[1].Address(), v1.Role_ROLE_DECODE))
	gateway := startGateway(t, testSettings(controller.address))
	if row.prefillDown {
		prefill.Crash()
	}
	if row.prefillCrashes {
		go func() {
			// A decode engine that has consumed its fault has received the request, and waits before the fetch.
			for len(decodes[0].Faults().Remaining())+len(decodes[1].Faults().Remaining()) == 2 && t.Context().Err() == nil {
				pause.For(t.Context(), often)
			}
			prefill.Crash()
		}()
	}
	kind := row.kind
	if kind == "" {
		kind = "matching"
	}
	answer := chat(t, gateway, kind, kvTransferBody)
	row.checkAnswer(t, answer)
	ran := prefill.Runs().Totals.Plus(decodes[0].Runs().Totals).Plus(decodes[1].Runs().Totals)
	require.Equal(t, row.started, ran.Started)
	require.Equal(t, row.imported, ran.Imported)
	require.LessOrEqual(t, ran.Prefilled, row.prefilled, "a prefill that was given up may stay incomplete")
	if row.isComplete && row.imported > 0 {
		require.Equal(t, row.prefilled, ran.Prefilled)
	}
}

var kvTransferBody = fmt.Sprintf(`{"model":"base","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
	handOverTokens, kvTransferPrompt)

var kvTransferPrompt = strings.Repeat("The lot's dossier says much of its hydraulics. ", 40)

func (row kvTransferRow) checkAnswer(t *testing.T, answer callerAnswer) {
	prompt := answertext.Prompt([]answertext.Message{{Role: "user", Content: gjson.Get(kvTransferBody, "messages.0.content").String()}})
	text := answertext.Text(answertext.Hash(prompt), handOverTokens)
	for name := range answer.header {
		require.NotContains(t, []string{"X-Kv-Handle", "X-Kv-Source", "X-Cache-Salt", "X-Exchange-Id"}, name)
	}
	if row.isComplete {
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		require.Equal(t, text, answer.text, answer.body)
		require.True(t, answer.isComplete, answer.body)
		requireFinalVerdict(t, answer, verdict.Ran, true)
		return
	}
	require.False(t, answer.isComplete, answer.body)
	require.Equal(t, row.status, answer.status, answer.body)
	require.Equal(t, row.verdict.String(), answer.verdict, answer.body)
	for _, secret := range []string{"kv", "handle", "salt", "exchange", "127."} {
		require.NotContains(t, answer.body, secret)
	}
}

// TestUsableHandle shows that a handle that could end or overfill a header is not passed on.
func TestUsableHandle(t *testing.T) {
	for handle, usable := range map[string]bool{
		"": false, "0123abcd": true, "a b": false, "a\r\nX-Cache-Salt: other": false, "a\x00": false, "é": false,
		strings.Repeat("a", maximumHandleLength): true, strings.Repeat("a", maximumHandleLength+1): false,
	} {
		require.Equal(t, usable, isUsableHandle(handle), "%q", handle)
	}
}
