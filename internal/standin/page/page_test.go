package page

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

const (
	exchange = "0123456789abcdef0123456789abcdef"
	key      = "deposit-1"
	path     = "/registrations"
	body     = "lot 7"
)

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func start(t *testing.T, faults ...fault.Fault) *Service {
	t.Helper()
	// No client uses 127.0.0.2 as its source address, so a crashed service's port stays free for its restart.
	service, err := Start(Config{Name: "p1", Service: "portal", Address: "127.0.0.2:0", Faults: faults})
	require.NoError(t, err)
	t.Cleanup(service.Close)
	return service
}

func send(t *testing.T, service *Service, method, path, body string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+service.Address()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(enginecontract.HeaderExchange, exchange)
	if method == http.MethodPost {
		request.Header.Set(enginecontract.HeaderIdempotencyKey, key)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text), err}
}

func register(t *testing.T, service *Service) answer {
	return send(t, service, http.MethodPost, path, body)
}

func TestPagesAndReceipts(t *testing.T) {
	service := start(t)
	got := send(t, service, http.MethodGet, "/catalogue?n=3", "")
	require.Equal(t, Page("/catalogue?n=3"), got.body)
	require.Equal(t, exchange, got.header.Get(enginecontract.HeaderExchange))
	require.Equal(t, string(enginecontract.StateServing), got.header.Get(enginecontract.HeaderEngineState))
	require.Equal(t, Receipt(path, key, []byte(body)), register(t, service).body)
	require.Equal(t, Report{Service: "p1", Served: 2, Executions: map[string]int{key: 1}}, service.Runs())
}

// TestFaults checks what each fault does to an answer and whether the request ran.
func TestFaults(t *testing.T) {
	tests := []struct {
		fault fault.Kind
		runs  int
		check func(t *testing.T, got answer)
	}{
		{fault.Refuse, 0, func(t *testing.T, got answer) {
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, enginecontract.RunStateNotRun, got.header.Get(enginecontract.HeaderRunState))
		}},
		{fault.Error, 1, func(t *testing.T, got answer) {
			require.Equal(t, http.StatusInternalServerError, got.status)
			require.Equal(t, enginecontract.RunStateMayHaveRun, got.header.Get(enginecontract.HeaderRunState))
		}},
		{fault.LoseAnswer, 1, func(t *testing.T, got answer) { require.Error(t, got.err) }},
		{fault.Cut, 1, func(t *testing.T, got answer) { require.Error(t, got.err) }},
		{fault.Truncate, 1, func(t *testing.T, got answer) { require.Error(t, got.err) }},
		{fault.Late, 1, func(t *testing.T, got answer) { require.Equal(t, Receipt(path, key, []byte(body)), got.body) }},
		{fault.WrongEcho, 1, func(t *testing.T, got answer) {
			require.NotEqual(t, exchange, got.header.Get(enginecontract.HeaderExchange))
		}},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			service := start(t, fault.Fault{Kind: test.fault, Count: 1, Tokens: 3, DelayMs: 5})
			test.check(t, register(t, service))
			require.Equal(t, test.runs, service.Runs().Executions[key])
			require.Equal(t, http.StatusOK, register(t, service).status, "the fault struck once")
		})
	}
}

func TestLeavingRefusesAsNotRun(t *testing.T) {
	service := start(t)
	service.StartLeaving()
	got := register(t, service)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, enginecontract.RunStateNotRun, got.header.Get(enginecontract.HeaderRunState))
	require.Equal(t, string(enginecontract.StateLeaving), got.header.Get(enginecontract.HeaderEngineState))
	require.Equal(t, http.StatusServiceUnavailable, send(t, service, http.MethodGet, enginecontract.PathHealth, "").status)
	require.Equal(t, Report{Service: "p1", Refused: 1, Executions: map[string]int{}}, service.Runs())
}

func TestCrashAndFreeze(t *testing.T) {
	service := start(t)
	service.Crash()
	require.Error(t, register(t, service).err)
	require.NoError(t, service.Restart())
	const frozen = 10 * time.Millisecond
	began := time.Now()
	service.Freeze(frozen)
	require.Equal(t, http.StatusOK, register(t, service).status)
	require.GreaterOrEqual(t, time.Since(began), frozen)
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	service := start(t)
	require.Equal(t, http.StatusBadRequest, send(t, service, http.MethodPut, PathBenchFaults, "no list").status)
	require.Equal(t, http.StatusOK, send(t, service, http.MethodPut, PathBenchFaults, `[{"kind":"refuse","count":1}]`).status)
	require.Equal(t, http.StatusServiceUnavailable, register(t, service).status)
}
