package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var (
	refusedNotRun  = engineFault{refuse: 429, code: enginecontract.CodeOverloaded, runState: enginecontract.RunStateNotRun}
	refusedUnknown = engineFault{refuse: 500, code: enginecontract.CodeEngineError, runState: enginecontract.RunStateMayHaveRun}
	crash          = engineFault{cutAfter: 3}
)

// engineFaultRow is one fault between the gateway and engines, with the expected answer.
type engineFaultRow struct {
	name string
	kind string // default matching, which is repeatable
	// first and second are the faults of the two engines. The gateway may choose either engine
	// first, so rows that depend on the order give both the same faults.
	first, second []engineFault
	resumes       []engineFault
	// isComplete and verdict describe the answer; minimumRuns and maximumRuns bound the executions at both engines together.
	isComplete  bool
	status      int // of an incomplete answer that is not streamed
	verdict     verdict.Verdict
	minimumRuns int
	maximumRuns int
}

var engineFaultRows = []engineFaultRow{
	{name: "no fault", isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "noise in the stream", first: []engineFault{{noise: true}}, second: []engineFault{{noise: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "refused before running, then served", first: []engineFault{refusedNotRun}, second: []engineFault{refusedNotRun},
		status: 503, verdict: verdict.NotRun},
	{name: "one engine refuses", first: []engineFault{refusedNotRun}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "non-repeatable kind, one engine refuses before running", kind: "once", first: []engineFault{refusedNotRun}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "engine changes role", first: []engineFault{{refuse: 409, code: enginecontract.CodeWrongRole, runState: enginecontract.RunStateNotRun}},
		isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "engine leaves", first: []engineFault{{refuse: 503, code: enginecontract.CodeLeaving, runState: enginecontract.RunStateNotRun}},
		isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "link cut mid-stream, exchange continues", first: []engineFault{{cutAfter: 3, resumable: true}}, second: []engineFault{{cutAfter: 3, resumable: true}},
		isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "non-repeatable kind, link cut mid-stream, exchange continues", kind: "once",
		first: []engineFault{{cutAfter: 3, resumable: true}}, second: []engineFault{{cutAfter: 3, resumable: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "link cut twice", first: []engineFault{{cutAfter: 2, resumable: true}}, second: []engineFault{{cutAfter: 2, resumable: true}},
		resumes: []engineFault{{cutAfter: 4, resumable: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "link cut before the header, exchange continues", first: []engineFault{{cutBeforeHead: true, resumable: true}},
		second: []engineFault{{cutBeforeHead: true, resumable: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "engine crashes mid-stream", first: []engineFault{crash}, second: nil, isComplete: true, minimumRuns: 1, maximumRuns: 2},
	{name: "both engines crash mid-stream", first: []engineFault{crash}, second: []engineFault{crash}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 2, maximumRuns: 2},
	{name: "non-repeatable kind, engine crashes mid-stream", kind: "once", first: []engineFault{crash}, second: []engineFault{crash},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "non-repeatable kind, engine crashes before the header", kind: "once", first: []engineFault{{cutBeforeHead: true}}, second: []engineFault{{cutBeforeHead: true}},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "answer of another exchange", first: []engineFault{{foreignHead: true}}, second: []engineFault{{foreignHead: true}},
		isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "event of another exchange", first: []engineFault{{foreignEvent: 3}}, second: []engineFault{{foreignEvent: 3}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "event of another exchange, non-repeatable kind", kind: "once", first: []engineFault{{foreignEvent: 3}}, second: []engineFault{{foreignEvent: 3}},
		isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "each event twice", first: []engineFault{{duplicate: true}}, second: []engineFault{{duplicate: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "a token is missing", first: []engineFault{{skip: 4}}, second: []engineFault{{skip: 4}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "body ends early", first: []engineFault{{endAfter: 4}}, second: []engineFault{{endAfter: 4}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "no [DONE]", first: []engineFault{{noDone: true}}, second: []engineFault{{noDone: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "no finish event", first: []engineFault{{noFinish: true}}, second: []engineFault{{noFinish: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "no usage event", first: []engineFault{{noUsage: true}}, second: []engineFault{{noUsage: true}}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "error event mid-stream, non-repeatable kind", kind: "once", first: []engineFault{{errorAfter: 3}}, second: []engineFault{{errorAfter: 3}},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "error event mid-stream", first: []engineFault{{errorAfter: 3}}, isComplete: true, minimumRuns: 1, maximumRuns: 2},
	{name: "refused as may have run, non-repeatable kind", kind: "once", first: []engineFault{refusedUnknown}, second: []engineFault{refusedUnknown},
		status: 502, verdict: verdict.MayHaveRun},
	{name: "refused as may have run", first: []engineFault{refusedUnknown}, isComplete: true, minimumRuns: 1, maximumRuns: 1},
	{name: "refused parameters", first: []engineFault{{refuse: 400, code: enginecontract.CodeInvalidRequest, runState: enginecontract.RunStateNotRun}},
		second: []engineFault{{refuse: 400, code: enginecontract.CodeInvalidRequest, runState: enginecontract.RunStateNotRun}}, status: 400, verdict: verdict.NotRun},
}

func TestEngineFaults(t *testing.T) {
	t.Parallel()
	for _, row := range engineFaultRows {
		for mode, body := range map[string]string{"whole": unstreamedBody, "streamed": streamBody} {
			t.Run(row.name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				row.check(t, body, mode == "streamed")
			})
		}
	}
}

func (row engineFaultRow) check(t *testing.T, body string, streamed bool) {
	first, second := startEngine(t, row.first...), startEngine(t, row.second...)
	first.resumeFaults, second.resumeFaults = row.resumes, row.resumes
	controller := startController(t,
		engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED), engineBackEnd("e2", second.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	kind := row.kind
	if kind == "" {
		kind = "matching"
	}
	answer := chat(t, gateway, kind, body)
	firstRuns, _, _ := first.counts()
	secondRuns, _, _ := second.counts()
	runs := firstRuns + secondRuns
	require.GreaterOrEqual(t, runs, row.minimumRuns)
	require.LessOrEqual(t, runs, row.maximumRuns)
	require.NotContains(t, answer.body, "ANOTHER CALLER")
	require.NotContains(t, answer.body, "tenant secret")
	require.NotContains(t, answer.body, "internal detail")
	require.NotContains(t, answer.body, "exchange")
	require.Empty(t, answer.header.Get("X-Internal-Secret"))
	if row.isComplete {
		require.Equal(t, answerText, answer.text, answer.body)
		require.True(t, answer.isComplete, answer.body)
		require.Equal(t, 200, answer.status)
		requireFinalVerdict(t, answer, verdict.Ran, streamed)
		return
	}
	require.False(t, answer.isComplete, answer.body)
	require.True(t, strings.HasPrefix(answerText, answer.text), answer.text)
	require.Equal(t, row.verdict.String(), answer.errorVerdict, answer.body)
	if !streamed || answer.status != 200 {
		require.Equal(t, row.status, answer.status, answer.body)
		require.Equal(t, row.verdict.String(), answer.verdict)
		return
	}
	requireFinalVerdict(t, answer, row.verdict, streamed)
}

// requireFinalVerdict checks the final verdict of an answer: a stream carries it in its trailer, a
// complete answer in its header.
func requireFinalVerdict(t *testing.T, answer callerAnswer, want verdict.Verdict, streamed bool) {
	t.Helper()
	if streamed {
		require.Equal(t, verdict.MayHaveRun.String(), answer.verdict, "the header of a stream is sent before the outcome is known")
		require.Equal(t, want.String(), answer.finalVerdict)
		return
	}
	require.Equal(t, want.String(), answer.verdict)
	require.Empty(t, answer.finalVerdict)
}
