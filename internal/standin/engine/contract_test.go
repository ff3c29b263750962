package engine

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

var promptHash = answertext.Hash(answertext.Prompt([]answertext.Message{{Role: "user", Content: promptText}}))

// requireComplete checks that an answer has all tokens from offset on and its end.
func requireComplete(t *testing.T, got answer, offset, tokens int) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, answertext.Text(promptHash, tokens)[len(answertext.Text(promptHash, offset)):], got.text)
	require.True(t, got.finished && got.done)
	require.Equal(t, tokens, got.usage)
}

func TestCompleteAnswers(t *testing.T) {
	engine := startEngine(t, nil)
	completion := chat(engine, 2, 5).set("prompt", answertext.Prompt([]answertext.Message{{Role: "user", Content: promptText}}))
	completion.path = enginecontract.PathCompletions
	continued := chat(engine, 3, 20).with(enginecontract.HeaderContinueFrom, "8").set("continue_text", answertext.Text(promptHash, 8))
	tests := []struct {
		name           string
		call           call
		offset, tokens int
	}{
		{"chat", chat(engine, 1, 20), 0, 20},
		{"completions", completion, 0, 5},
		{"continued", continued, 8, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.call.do(t)
			requireComplete(t, got, test.offset, test.tokens)
			require.Equal(t, test.call.headers[enginecontract.HeaderExchange], got.header.Get(enginecontract.HeaderExchange))
			require.Equal(t, "serving", got.header.Get(enginecontract.HeaderEngineState))
			require.NotEmpty(t, got.header.Get(enginecontract.HeaderEngineLoad))
		})
	}
	require.Equal(t, 3, engine.Runs().Totals.Finished)
}

func TestRefusalsReportNotRun(t *testing.T) {
	engine := startEngine(t, nil)
	decode := startEngine(t, func(config *Config) { config.Role = enginecontract.RoleDecode })
	prefill := startEngine(t, func(config *Config) { config.Role = enginecontract.RolePrefill })
	tests := []struct {
		name   string
		call   call
		status int
		code   string
	}{
		{"no exchange", chat(engine, 1, 5).with(enginecontract.HeaderExchange, "x"), 400, "invalid_request"},
		{"not streamed", chat(engine, 1, 5).set("stream", false), 400, "invalid_request"},
		{"no messages", chat(engine, 1, 5).set("messages", nil), 400, "invalid_request"},
		{"bad priority", chat(engine, 1, 5).with(enginecontract.HeaderPriority, "high"), 400, "invalid_request"},
		{"another's continuation", chat(engine, 1, 5).with(enginecontract.HeaderContinueFrom, "2").set("continue_text", " no"), 400, "invalid_request"},
		{"unknown model", chat(engine, 1, 5).set("model", "other"), 404, "model_not_found"},
		{"whole request at prefill", chat(prefill, 1, 5), 409, "wrong_role"},
		{"prefill at decode", chat(decode, 1, 5).with(enginecontract.HeaderPrefillOnly, "1"), 409, "wrong_role"},
		{"import that fails", chat(decode, 1, 5).with(enginecontract.HeaderKVHandle, "no").with(enginecontract.HeaderKVSource, prefill.Address()), 424, "kv_import_failed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.call.do(t)
			require.Equal(t, test.status, got.status, got.body)
			require.Equal(t, test.code, got.code)
			require.Equal(t, enginecontract.RunStateNotRun, got.header.Get(enginecontract.HeaderRunState))
			require.Zero(t, test.call.engine.Runs().Totals.Started)
		})
	}
}

func TestExchangeIsUsedOnce(t *testing.T) {
	engine := startEngine(t, nil)
	requireComplete(t, chat(engine, 1, 5).do(t), 0, 5)
	again := chat(engine, 1, 5).do(t)
	require.Equal(t, http.StatusConflict, again.status)
	require.Equal(t, "exchange_exists", again.code)
	require.Equal(t, enginecontract.RunStateMayHaveRun, again.header.Get(enginecontract.HeaderRunState))
	require.Equal(t, 1, engine.Runs().Prompts[PromptKey(promptHash)].Started)
}

// TestFaults checks what each fault does to an answer, and that the exchange can be resumed
// to a complete answer where the contract says so.
func TestFaults(t *testing.T) {
	const tokens = 12
	tests := []struct {
		fault     fault.Kind
		check     func(t *testing.T, got answer)
		resumable bool
		started   int
	}{
		{fault.Refuse, func(t *testing.T, got answer) {
			require.Equal(t, enginecontract.RunStateNotRun, got.header.Get(enginecontract.HeaderRunState))
		}, false, 0},
		{fault.Error, func(t *testing.T, got answer) {
			require.Equal(t, 500, got.status)
			require.Equal(t, enginecontract.RunStateMayHaveRun, got.header.Get(enginecontract.HeaderRunState))
		}, true, 1},
		{fault.LoseAnswer, func(t *testing.T, got answer) { require.Error(t, got.err) }, true, 1},
		{fault.Cut, func(t *testing.T, got answer) {
			require.False(t, got.done)
			require.LessOrEqual(t, len(got.offsets), 3)
		}, true, 1},
		{fault.Truncate, func(t *testing.T, got answer) {
			require.NoError(t, got.err)
			require.False(t, got.done)
			require.Len(t, got.offsets, 3)
		}, true, 1},
		{fault.EarlyDone, func(t *testing.T, got answer) {
			require.True(t, got.done)
			require.False(t, got.finished)
			require.Len(t, got.offsets, 3)
		}, true, 1},
		{fault.Late, func(t *testing.T, got answer) { requireComplete(t, got, 0, tokens) }, true, 1},
		{fault.Crossed, func(t *testing.T, got answer) {
			requireComplete(t, got, 0, tokens)
			require.Equal(t, 1, got.others)
		}, true, 1},
		{fault.WrongEcho, func(t *testing.T, got answer) {
			require.Equal(t, foreignExchange, got.header.Get(enginecontract.HeaderExchange))
		}, true, 1},
		{fault.Duplicate, func(t *testing.T, got answer) { require.Len(t, got.offsets, 2*tokens) }, true, 1},
		{fault.Skip, func(t *testing.T, got answer) {
			require.Len(t, got.offsets, tokens-1)
			require.NotContains(t, got.offsets, 4)
		}, true, 1},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			engine := startEngine(t, func(config *Config) { config.Faults = []fault.Fault{faultOnce(test.fault)} })
			test.check(t, chat(engine, 1, tokens).do(t))
			require.Equal(t, test.started, engine.Runs().Prompts[PromptKey(promptHash)].Started)
			if test.resumable {
				requireComplete(t, resume(engine, 1, "2").do(t), 2, tokens)
			}
			requireComplete(t, chat(engine, 2, tokens).do(t), 0, tokens)
		})
	}
}

func resume(engine *Engine, number int, offset string) call {
	return call{engine: engine, method: http.MethodGet, path: enginecontract.PathExchanges + exchangeID(number) + "?offset=" + offset}
}

func TestResumeReplacesStalledReader(t *testing.T) {
	engine := startEngine(t, func(config *Config) { config.Faults = []fault.Fault{faultOnce(fault.Stall)} })
	response, err := chat(engine, 1, 30).open(t)
	require.NoError(t, err)
	stalled := make(chan answer, 1)
	go func() { stalled <- read(t, response, exchangeID(1)) }()
	requireComplete(t, resume(engine, 1, "3").do(t), 3, 30)
	require.False(t, (<-stalled).done)
}

func TestUnknownExchange(t *testing.T) {
	engine := startEngine(t, nil)
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		unknown := resume(engine, 9, "0")
		unknown.method = method
		got := unknown.do(t)
		require.Equal(t, http.StatusNotFound, got.status)
		require.Equal(t, "exchange_unknown", got.code)
		require.Equal(t, enginecontract.RunStateMayHaveRun, got.header.Get(enginecontract.HeaderRunState))
	}
}

func TestCancelReportsWhetherItRan(t *testing.T) {
	engine := startEngine(t, func(config *Config) { config.Profile.MaxBatch = 1 })
	running, err := chat(engine, 1, 100_000).open(t)
	require.NoError(t, err)
	defer func() { _ = running.Body.Close() }()
	waiting := make(chan answer, 1)
	go func() { waiting <- chat(engine, 2, 5).do(t) }()
	require.Eventually(t, func() bool {
		state, _ := engine.State()
		return state.InFlight == 2
	}, time.Minute, time.Millisecond)
	remove := call{engine: engine, method: http.MethodDelete, path: enginecontract.PathExchanges + exchangeID(2)}
	require.Equal(t, enginecontract.RunStateNotRun, remove.do(t).header.Get(enginecontract.HeaderRunState))
	require.Equal(t, enginecontract.RunStateNotRun, (<-waiting).header.Get(enginecontract.HeaderRunState))
	remove.path = enginecontract.PathExchanges + exchangeID(1)
	require.Equal(t, enginecontract.RunStateMayHaveRun, remove.do(t).header.Get(enginecontract.HeaderRunState))
	require.False(t, read(t, running, "").done)
	require.Equal(t, 1, engine.Runs().Totals.Started)
}

func TestDeadlineWhileWaitingIsNotRun(t *testing.T) {
	engine := startEngine(t, func(config *Config) { config.Profile.MaxBatch = 1 })
	running, err := chat(engine, 1, 100_000).open(t)
	require.NoError(t, err)
	defer func() { _ = running.Body.Close() }()
	late := chat(engine, 2, 5).with(enginecontract.HeaderDeadline, "20").do(t)
	require.Equal(t, http.StatusRequestTimeout, late.status)
	require.Equal(t, "deadline_exceeded", late.code)
	require.Equal(t, enginecontract.RunStateNotRun, late.header.Get(enginecontract.HeaderRunState))
	require.Equal(t, 1, engine.Runs().Totals.Started)
}

func TestPrefillAndDecodeOnDifferentEngines(t *testing.T) {
	prefill := startEngine(t, func(config *Config) { config.Role = enginecontract.RolePrefill })
	decode := startEngine(t, func(config *Config) { config.Role = enginecontract.RoleDecode })
	hand := func(number int) enginecontract.PrefillAnswer {
		read := chat(prefill, number, 9).with(enginecontract.HeaderPrefillOnly, "1").with(enginecontract.HeaderCacheSalt, "s").do(t)
		require.Equal(t, http.StatusOK, read.status, read.body)
		var handle enginecontract.PrefillAnswer
		require.NoError(t, json.Unmarshal([]byte(read.body), &handle))
		require.Equal(t, exchangeID(number), handle.Exchange)
		return handle
	}
	decoded := func(number int, handle enginecontract.PrefillAnswer) call {
		return chat(decode, number, 9).with(enginecontract.HeaderKVHandle, handle.KVHandle).with(enginecontract.HeaderKVSource, prefill.Address())
	}
	handle := hand(1)
	require.Equal(t, "kv_import_failed", decoded(2, handle).with(enginecontract.HeaderCacheSalt, "other").do(t).code)
	own := decoded(3, handle).with(enginecontract.HeaderCacheSalt, "s")
	crossed := own.set("messages", []map[string]string{{"role": "user", "content": "another prompt"}})
	require.Equal(t, "kv_import_failed", crossed.do(t).code, "a cache of another prompt")
	requireComplete(t, decoded(5, hand(4)).with(enginecontract.HeaderCacheSalt, "s").do(t), 0, 9)
}
