package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

var errStopped = errors.New("stopped by the test")

// exchangeCase is one way in which an exchange ends at the back end.
type exchangeCase struct {
	name string
	// answer is the back end's handler; nil refuses connections.
	answer http.HandlerFunc
	// prepare modifies the request.
	prepare func(*Request)
	status  int
	code    string
	verdict verdict.Verdict
	cause   error // nil if any cause is accepted
}

func echo(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(enginecontract.HeaderExchange, request.Header.Get(enginecontract.HeaderExchange))
}

func refuseAs(runState string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		echo(writer, request)
		writer.Header().Set(enginecontract.HeaderRunState, runState)
		writer.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(writer, `{"error":{"code":"overloaded"}}`)
	}
}

func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var exchangeCases = []exchangeCase{
	{name: "answered", answer: echo},
	{name: "connection refused", verdict: verdict.NotRun},
	{name: "deadline passed before sending", answer: echo, verdict: verdict.NotRun, cause: ErrDeadline,
		prepare: func(request *Request) { request.Deadline = time.Now().Add(-time.Second) }},
	{name: "interrupted before sending", answer: echo, verdict: verdict.NotRun, cause: ErrInterrupted,
		prepare: func(request *Request) {
			request.Interrupter = &Interrupter{}
			request.Interrupter.Interrupt(errStopped)
		}},
	{name: "closed without an answer", answer: abortResponse, verdict: verdict.MayHaveRun},
	{name: "no echo", answer: func(http.ResponseWriter, *http.Request) {}, verdict: verdict.MayHaveRun, cause: ErrForeignAnswer},
	{name: "echo of another exchange", verdict: verdict.MayHaveRun, cause: ErrForeignAnswer,
		answer: func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(enginecontract.HeaderExchange, NewExchange())
		}},
	{name: "refused, not run", answer: refuseAs(enginecontract.RunStateNotRun), status: 429, code: "overloaded", verdict: verdict.NotRun, cause: ErrRefused},
	{name: "refused, may have run", answer: refuseAs(enginecontract.RunStateMayHaveRun), status: 429, code: "overloaded", verdict: verdict.MayHaveRun, cause: ErrRefused},
	{name: "refused, unknown state", answer: refuseAs("perhaps"), status: 429, code: "overloaded", verdict: verdict.MayHaveRun, cause: ErrRefused},
	{name: "refused as not run without the echo", verdict: verdict.MayHaveRun, cause: ErrForeignAnswer,
		answer: func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
			writer.WriteHeader(http.StatusServiceUnavailable)
		}},
}

// TestExchange checks the verdict for each way in which an exchange may end.
func TestExchange(t *testing.T) {
	for _, row := range exchangeCases {
		t.Run(row.name, func(t *testing.T) {
			client, err := NewClient(Options{})
			require.NoError(t, err)
			defer client.Close()
			request := Request{
				Address: closedAddress(t), Method: http.MethodPost, Target: "/", Body: []byte("x"),
				Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
			}
			if row.answer != nil {
				server := httptest.NewServer(row.answer)
				defer server.Close()
				request.Address = strings.TrimPrefix(server.URL, "http://")
			}
			if row.prepare != nil {
				row.prepare(&request)
			}
			answer, _, failure := client.Do(request)
			if row.name == "answered" {
				require.Nil(t, failure)
				answer.Close()
				return
			}
			require.NotNil(t, failure)
			require.Equal(t, row.verdict, failure.Verdict, failure.Error())
			require.Equal(t, row.status, failure.Status)
			require.Equal(t, row.code, failure.Code)
			if row.cause != nil {
				require.ErrorIs(t, failure, row.cause)
			}
		})
	}
}

// closedAddress returns an address that refuses connections. No other process listens on 127.0.0.5 or dials
// from there, so the port stays free.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.5:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestIdleConnectionClosed checks that a connection which the back end closed while it was idle is not
// reused: the next exchange opens a new connection and succeeds.
func TestIdleConnectionClosed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	client, err := NewClient(Options{})
	require.NoError(t, err)
	defer client.Close()
	for range 3 {
		answer, _, failure := client.Do(Request{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/",
			Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
		})
		require.Nil(t, failure)
		_, err := answer.ReadAll()
		require.NoError(t, err)
		answer.Close()
		server.CloseClientConnections()
	}
}

// TestTruncated checks that a body which ends before its declared length is reported as truncated.
func TestTruncated(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		echo(writer, request)
		writer.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(writer, "short")
	}))
	defer server.Close()
	client, err := NewClient(Options{})
	require.NoError(t, err)
	defer client.Close()
	answer, _, failure := client.Do(Request{
		Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/",
		Exchange: NewExchange(), Deadline: time.Now().Add(time.Minute),
	})
	require.Nil(t, failure)
	defer answer.Close()
	_, err = answer.ReadAll()
	require.ErrorIs(t, err, ErrTruncated)
}

// Guards against idle connections that were closed because the deadline of their last exchange had passed: a gateway that
// could open no new connections then refused requests, although its open connections still carried them.
func TestIdleConnectionOutlivesDeadlineOfItsLastExchange(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	t.Cleanup(server.Close)
	dials := 0
	client, err := NewClient(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	first := time.Now().Add(time.Second)
	for _, deadline := range []time.Time{first, first.Add(time.Minute)} {
		answer, _, failure := client.Do(Request{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Target: "/", Exchange: NewExchange(), Deadline: deadline,
		})
		require.Nil(t, failure)
		_, err := answer.ReadAll()
		require.NoError(t, err)
		answer.Close()
		time.Sleep(time.Until(first)) // until the deadline of the first exchange has passed
	}
	require.Equal(t, 1, dials)
}
