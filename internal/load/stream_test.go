package load

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const hash = 42

func tokenEvent(prompt uint64, index int) string {
	text := answertext.AppendToken(nil, prompt, index)
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", text)
}

const (
	finishEvent = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
	usageEvent  = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

// TestStreamCheck checks that each way in which a stream can be incomplete or belong to
// another request is detected.
func TestStreamCheck(t *testing.T) {
	first, second := tokenEvent(hash, 0), tokenEvent(hash, 1)
	tests := []struct {
		name   string
		stream []string
		want   Outcome
	}{
		{"whole", []string{first, second, finishEvent, usageEvent, doneEvent}, Completed},
		{"no end", []string{first, second, finishEvent, usageEvent}, Cut},
		{"cut after a token", []string{first}, Cut},
		{"error event", []string{first, "data: {\"error\":{\"code\":\"engine_error\"}}\n\n"}, Cut},
		{"deadline error too early", []string{first, "data: {\"error\":{\"code\":\"deadline_exceeded\"}}\n\n"}, Cut},
		{"a token missing", []string{second, finishEvent, usageEvent, doneEvent}, Mixed},
		{"a token twice", []string{first, first, second, finishEvent, usageEvent, doneEvent}, Mixed},
		{"another's token", []string{first, tokenEvent(hash+1, 1), finishEvent, usageEvent, doneEvent}, Mixed},
		{"too short", []string{first, finishEvent, usageEvent, doneEvent}, Mixed},
		{"too long", []string{first, second, tokenEvent(hash, 2), finishEvent, usageEvent, doneEvent}, Mixed},
		{"no finish", []string{first, second, usageEvent, doneEvent}, Mixed},
		{"no usage", []string{first, second, finishEvent, doneEvent}, Mixed},
		{"no JSON", []string{"data: {\n\n"}, Mixed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var result Result
			of := request{chat: true, promptHash: hash, promptTokens: 9, outputTokens: 2, deadline: time.Hour}
			result.checkStream(of, strings.NewReader(strings.Join(test.stream, "")), time.Now(), io.Discard)
			require.Equal(t, test.want, result.Outcome, result.Detail)
		})
	}
}

func TestAuditFindsFalseVerdictsAndDoubleRuns(t *testing.T) {
	ran := Executions{
		prompts: map[string]engine.Run{"started": {Started: 1}, "prefilled": {Prefilled: 1}},
		keys:    map[string]int{"once": 1, "twice": 2},
	}
	tests := []struct {
		name   string
		result Result
		want   Audit
	}{
		{"true not run", Result{Prompt: "none", Verdict: verdict.NotRun.String()}, Audit{}},
		{"false not run", Result{Prompt: "started", Verdict: verdict.NotRun.String()}, Audit{FalseNotRun: 1}},
		{"not run, but prefilled", Result{Prompt: "prefilled", Verdict: verdict.NotRun.String()}, Audit{FalseNotRun: 1}},
		{"may have run", Result{Prompt: "started", Verdict: verdict.MayHaveRun.String()}, Audit{}},
		{"false ran", Result{Key: "none", Verdict: verdict.Ran.String()}, Audit{FalseRan: 1}},
		{"completed, but not run", Result{Key: "none", Outcome: Completed}, Audit{FalseRan: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := auditResults([]Result{test.result}, ran)
			require.Equal(t, 1, found.Doubled)
			require.Equal(t, test.want.FalseNotRun, found.FalseNotRun)
			require.Equal(t, test.want.FalseRan, found.FalseRan)
		})
	}
}

// TestAuditOfAttempts checks that a verdict of not run for a request with an idempotency key is false when an earlier
// attempt ran, and true when only a later attempt can have run.
func TestAuditOfAttempts(t *testing.T) {
	began := time.Unix(1000, 0)
	attempt := func(second int, outcome Outcome, final verdict.Verdict) Result {
		return Result{Key: "k", Outcome: outcome, Verdict: final.String(), Total: 500 * time.Millisecond, Ended: began.Add(time.Duration(second) * time.Second)}
	}
	lost := Result{Key: "k", Outcome: Lost, Total: 500 * time.Millisecond, Ended: began.Add(time.Second)}
	tests := []struct {
		name    string
		results []Result
		runs    int
		want    int
	}{
		{"refused, then completed", []Result{attempt(1, Refused, verdict.NotRun), attempt(2, Completed, verdict.Ran)}, 1, 0},
		{"lost, then refused", []Result{lost, attempt(2, Refused, verdict.NotRun)}, 1, 1},
		{"lost and not run, then refused", []Result{lost, attempt(2, Refused, verdict.NotRun)}, 0, 0},
		{"completed, then refused", []Result{attempt(1, Completed, verdict.Ran), attempt(2, Refused, verdict.NotRun)}, 1, 1},
		{"refused twice", []Result{attempt(1, Refused, verdict.NotRun), attempt(2, Refused, verdict.NotRun)}, 1, 2},
		{"lost, then refused as may have run", []Result{lost, attempt(2, Refused, verdict.MayHaveRun)}, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, auditResults(test.results, Executions{keys: map[string]int{"k": test.runs}}).FalseNotRun)
		})
	}
}
