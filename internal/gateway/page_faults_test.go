package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// pageFaultRow is one fault between the gateway and page services; both
// replicas have the same faults.
type pageFaultRow struct {
	name   string
	method string
	path   string
	key    string
	faults []fault.Fault
	// down stops the replicas, so that connections are refused.
	down    bool
	status  int
	verdict verdict.Verdict
	// minimumRuns and maximumRuns bound the executions at both replicas together.
	minimumRuns, maximumRuns int
}

var pageFaultRows = []pageFaultRow{
	{name: "listing", method: http.MethodGet, path: "/lots/7?view=full", status: 200, verdict: verdict.Ran, minimumRuns: 1, maximumRuns: 1},
	{name: "listing, refused once", method: http.MethodGet, path: "/lots/7", faults: []fault.Fault{{Kind: fault.Refuse, Count: 1}},
		status: 503, verdict: verdict.NotRun},
	{name: "listing, answer lost at both", method: http.MethodGet, path: "/lots/7", faults: []fault.Fault{{Kind: fault.LoseAnswer, Count: 1}},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 2, maximumRuns: 2},
	{name: "listing, truncated at both", method: http.MethodGet, path: "/lots/7", faults: []fault.Fault{{Kind: fault.Truncate, Count: 1, Tokens: 10}},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 2, maximumRuns: 2},
	{name: "listing, crossed at both", method: http.MethodGet, path: "/lots/7", faults: []fault.Fault{{Kind: fault.WrongEcho, Count: 1}},
		status: 502, verdict: verdict.MayHaveRun, minimumRuns: 2, maximumRuns: 2},
	{name: "listing, replicas down", method: http.MethodGet, path: "/lots/7", down: true, status: 503, verdict: verdict.NotRun},
	{name: "registration without a key", method: http.MethodPost, path: "/registrations", status: 200, verdict: verdict.Ran, minimumRuns: 1, maximumRuns: 1},
	{name: "registration without a key, answer lost", method: http.MethodPost, path: "/registrations",
		faults: []fault.Fault{{Kind: fault.LoseAnswer, Count: 1}}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "registration without a key, replicas down", method: http.MethodPost, path: "/registrations", down: true, status: 503, verdict: verdict.NotRun},
	{name: "registration", method: http.MethodPost, path: "/registrations", key: "k1", status: 200, verdict: verdict.Ran, minimumRuns: 1, maximumRuns: 1},
	{name: "registration, answer lost", method: http.MethodPost, path: "/registrations", key: "k1",
		faults: []fault.Fault{{Kind: fault.LoseAnswer, Count: 1}}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "registration, answer truncated", method: http.MethodPost, path: "/registrations", key: "k1",
		faults: []fault.Fault{{Kind: fault.Truncate, Count: 1, Tokens: 3}}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "registration, answer crossed", method: http.MethodPost, path: "/registrations", key: "k1",
		faults: []fault.Fault{{Kind: fault.WrongEcho, Count: 1}}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "registration, fails while it runs", method: http.MethodPost, path: "/registrations", key: "k1",
		faults: []fault.Fault{{Kind: fault.Error, Count: 1}}, status: 502, verdict: verdict.MayHaveRun, minimumRuns: 1, maximumRuns: 1},
	{name: "registration, refused by both", method: http.MethodPost, path: "/registrations", key: "k1",
		faults: []fault.Fault{{Kind: fault.Refuse, Count: 1}}, status: 503, verdict: verdict.NotRun},
	{name: "registration, answer late", method: http.MethodPost, path: "/urgent", key: "k1",
		faults: []fault.Fault{{Kind: fault.Late, Count: 1, DelayMs: late}}, status: 504, verdict: verdict.MayHaveRun, maximumRuns: 1},
	{name: "ambiguous path", method: http.MethodGet, path: "/lots/%2e%2e/registrations", status: 400, verdict: verdict.NotRun},
	{name: "unknown path", method: http.MethodGet, path: "/lotsize", status: 404, verdict: verdict.NotRun},
}

func TestPageFaults(t *testing.T) {
	t.Parallel()
	for _, row := range pageFaultRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			row.check(t)
		})
	}
}

func startPage(t testing.TB, name string, faults []fault.Fault) *page.Service {
	service, err := page.Start(page.Config{Name: name, Service: "portal", Zone: "z1", Address: ownAddress(), Faults: faults})
	require.NoError(t, err)
	t.Cleanup(service.Close)
	return service
}

func (row pageFaultRow) check(t *testing.T) {
	first, second := startPage(t, "p1", row.faults), startPage(t, "p2", row.faults)
	controller := startController(t, pageBackEnd("p1", first.Address()), pageBackEnd("p2", second.Address()))
	gateway := startGateway(t, testSettings(controller.address))
	if row.down {
		first.Crash()
		second.Crash()
	}
	headers := map[string]string{}
	if row.key != "" {
		headers[enginecontract.HeaderIdempotencyKey] = row.key
	}
	answer := call(t, row.method, gateway.url+row.path, "name=Ana", headers)
	require.Equal(t, row.status, answer.status, answer.body)
	require.Equal(t, row.verdict.String(), answer.verdict, answer.body)
	executions := first.Runs().Served + second.Runs().Served
	require.GreaterOrEqual(t, executions, row.minimumRuns)
	require.LessOrEqual(t, executions, row.maximumRuns)
	if row.status == http.StatusOK && row.method == http.MethodGet {
		require.Equal(t, page.Page(row.path), answer.body)
	}
	require.Empty(t, answer.header.Get(enginecontract.HeaderExchange))
	require.Empty(t, answer.header.Get(enginecontract.HeaderEngineState))
	if row.key != "" && row.verdict != verdict.NotRun {
		// The gateway answers before the outcome is recorded.
		require.Eventually(t, func() bool { return controller.outcomes() == 1 }, eventually, often)
	}
	row.checkResend(t, gateway, answer, headers, func() int { return first.Runs().Served + second.Runs().Served })
}

// checkResend sends the request again, as a caller that lost the answer does. With a key it must not
// run a second time if it has run before.
func (row pageFaultRow) checkResend(t *testing.T, gateway *testGateway, first callerAnswer, headers map[string]string, executions func() int) {
	if row.key == "" || row.verdict == verdict.NotRun {
		return
	}
	before := executions()
	again := call(t, row.method, gateway.url+row.path, "name=Ana", headers)
	require.Equal(t, before, executions())
	if row.verdict == verdict.Ran {
		require.Equal(t, first.status, again.status)
		require.Equal(t, first.body, again.body)
		require.Equal(t, "true", again.header.Get(headerReplayed))
		changed := call(t, row.method, gateway.url+row.path, "name=Eva", headers)
		require.Equal(t, http.StatusUnprocessableEntity, changed.status)
		require.Equal(t, codeKeyReused, changed.errorCode)
		return
	}
	require.Equal(t, http.StatusConflict, again.status)
	require.Equal(t, verdict.MayHaveRun.String(), again.verdict)
	require.Equal(t, codeOutcomeUnknown, again.errorCode)
}

// TestClaimNeedsController shows that a non-repeatable request with a key does not run when no
// controller can grant its claim, and that its verdict is then not "not run", because an
// earlier attempt with its key may have run.
func TestClaimNeedsController(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", nil)
	controller := startController(t, pageBackEnd("p1", service.Address()))
	gateway := startGateway(t, testSettings(controller.address))
	send := func(key string) callerAnswer {
		return call(t, http.MethodPost, gateway.url+"/registrations", "x", map[string]string{enginecontract.HeaderIdempotencyKey: key})
	}
	require.Equal(t, http.StatusOK, send("sent before").status)
	controller.down.Store(true)
	t.Cleanup(func() { require.Equal(t, 1, service.Runs().Served) }) // after the rows have ended
	for _, key := range []string{"sent before", "new"} {
		t.Run(key, func(t *testing.T) {
			t.Parallel() // each row takes as long as a claim is retried
			answer := send(key)
			require.Equal(t, http.StatusServiceUnavailable, answer.status)
			require.Equal(t, codeClaimUnreachable, answer.errorCode)
			require.Equal(t, verdict.MayHaveRun.String(), answer.verdict)
			require.NotEmpty(t, answer.header.Get("Retry-After"))
		})
	}
}

// TestOverloadBeforeClaim checks the verdict of a gateway with too many requests in flight: "not run", except for
// a request with a key, whose claim it has not looked up.
func TestOverloadBeforeClaim(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", []fault.Fault{{Kind: fault.Late, Count: fault.Always, DelayMs: generousMs}})
	controller := startController(t, pageBackEnd("p1", service.Address()))
	config := testSettings(controller.address)
	config.Limits.InFlight, config.Limits.QueueLength = 1, 1
	gateway := startGateway(t, config)
	// Two of three requests occupy both slots until the end of the test; the first answer is
	// the refusal of the third.
	answers := make(chan string, 3)
	for range cap(answers) {
		connection := dial(t, gateway, rawRequest(http.MethodGet, "/lots/1", "", "", ""))
		go func() {
			head := make([]byte, 4096)
			length, _ := connection.Read(head)
			answers <- string(head[:length])
		}()
	}
	require.Contains(t, <-answers, codeOverloaded)
	for key, want := range map[string]verdict.Verdict{"": verdict.NotRun, "k": verdict.MayHaveRun} {
		headers := map[string]string{}
		if key != "" {
			headers[enginecontract.HeaderIdempotencyKey] = key
		}
		answer := call(t, http.MethodPost, gateway.url+"/registrations", "x", headers)
		require.Equal(t, http.StatusServiceUnavailable, answer.status)
		require.Equal(t, codeOverloaded, answer.errorCode)
		require.Equal(t, want.String(), answer.verdict)
		require.NotEmpty(t, answer.header.Get("Retry-After"))
	}
}

// TestBeforeClaim checks which refusals remain "not run" for a request with a key.
func TestBeforeClaim(t *testing.T) {
	for status, want := range map[int]verdict.Verdict{
		400: verdict.NotRun, 404: verdict.NotRun, 405: verdict.NotRun, 413: verdict.NotRun, 422: verdict.NotRun, 431: verdict.NotRun,
		401: verdict.MayHaveRun, 408: verdict.MayHaveRun, 429: verdict.MayHaveRun, 502: verdict.MayHaveRun, 503: verdict.MayHaveRun, 504: verdict.MayHaveRun,
	} {
		require.Equal(t, want, refuse(status, typeServer, codeInternal, "").beforeClaim("k").verdict, status)
		require.Equal(t, verdict.NotRun, refuse(status, typeServer, codeInternal, "").beforeClaim("").verdict, status)
	}
}
