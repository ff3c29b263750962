package operatorclient

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// fakeController answers the operator service from a script: each call consumes one step, and the last
// step answers all further calls.
type fakeController struct {
	hazelpitchv1connect.UnimplementedOperatorServiceHandler
	mutex    sync.Mutex
	steps    []func() error
	requests []*v1.ApplyRequest
	keys     []string
}

func (f *fakeController) Apply(_ context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests = append(f.requests, request.Msg)
	f.keys = append(f.keys, request.Header().Get("Authorization"))
	step := f.steps[0]
	if len(f.steps) > 1 {
		f.steps = f.steps[1:]
	}
	if err := step(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.ApplyResponse{Revision: 7}), nil
}

func (f *fakeController) calls() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.requests)
}

func succeed() error { return nil }

func failWith(code connect.Code, leader string) func() error {
	return func() error {
		err := connect.NewError(code, errors.New("scripted"))
		if leader != "" {
			err.Meta().Set(HeaderLeaderAddress, leader)
		}
		return err
	}
}

// dropAnswer lets the controller receive the request and breaks the connection before the answer.
func dropAnswer() error { panic(http.ErrAbortHandler) }

// startController starts a fake controller and returns it with its address.
func startController(t *testing.T, steps ...func() error) (*fakeController, string) {
	t.Helper()
	fake := &fakeController{steps: steps}
	mux := http.NewServeMux()
	mux.Handle(hazelpitchv1connect.NewOperatorServiceHandler(fake))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return fake, strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T, timeout time.Duration, controllers ...string) *Client {
	t.Helper()
	client, err := New(Config{Controllers: controllers, Key: "secret", Timeout: timeout})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

const testTimeout = 20 * time.Second

func TestRetryKeepsRequestIdentity(t *testing.T) {
	for name, first := range map[string]func() error{
		"connection broken":  dropAnswer,
		"unavailable":        failWith(connect.CodeUnavailable, ""),
		"deadline exceeded":  failWith(connect.CodeDeadlineExceeded, ""),
		"leadership changed": failWith(connect.CodeAborted, ""),
	} {
		t.Run(name, func(t *testing.T) {
			fake, address := startController(t, first, succeed)
			response, err := newClient(t, testTimeout, address).Apply(t.Context(), &v1.ApplyRequest{ChangeNumber: 3})
			require.NoError(t, err)
			require.Equal(t, uint64(7), response.GetRevision())
			require.Len(t, fake.requests, 2)
			require.NotEmpty(t, fake.requests[0].GetRequestId())
			require.Equal(t, fake.requests[0].GetRequestId(), fake.requests[1].GetRequestId())
			require.Equal(t, []string{"Bearer secret", "Bearer secret"}, fake.keys)
		})
	}
}

func TestFinalErrorsAreNotRetried(t *testing.T) {
	for _, code := range []connect.Code{
		connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodePermissionDenied, connect.CodeUnauthenticated,
		connect.CodeFailedPrecondition, connect.CodeResourceExhausted, connect.CodeInternal, connect.CodeUnimplemented,
	} {
		t.Run(code.String(), func(t *testing.T) {
			fake, address := startController(t, failWith(code, ""))
			other, otherAddress := startController(t, succeed)
			_, err := newClient(t, testTimeout, address, otherAddress).Apply(t.Context(), &v1.ApplyRequest{})
			var refused *RefusedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, code, refused.Code)
			require.Equal(t, "scripted", refused.Message)
			require.Equal(t, 1, fake.calls())
			require.Zero(t, other.calls())
		})
	}
}

func TestLeaderHintIsFollowedAndCached(t *testing.T) {
	leader, leaderAddress := startController(t, succeed)
	follower, followerAddress := startController(t, failWith(connect.CodeUnavailable, leaderAddress))
	other, otherAddress := startController(t, succeed)
	client := newClient(t, testTimeout, followerAddress, otherAddress, leaderAddress)
	for range 2 {
		_, err := client.Apply(t.Context(), &v1.ApplyRequest{})
		require.NoError(t, err)
	}
	require.Equal(t, 2, leader.calls())
	require.Equal(t, 1, follower.calls())
	require.Zero(t, other.calls())
}

func TestUnreachableErrorNamesAllControllers(t *testing.T) {
	ctx, giveUp := context.WithCancel(t.Context())
	fake, silent := startController(t, failWith(connect.CodeUnavailable, ""), failWith(connect.CodeUnavailable, ""), func() error {
		giveUp() // the controller has failed twice before
		return failWith(connect.CodeUnavailable, "")()
	})
	const closed = "127.0.0.1:1"
	_, err := newClient(t, testTimeout, closed, silent).Apply(ctx, &v1.ApplyRequest{})
	require.Equal(t, 3, fake.calls())
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
	require.ErrorContains(t, err, closed)
	require.ErrorContains(t, err, silent+": unavailable: scripted")
}

func TestControllerOfAnotherFleetIsRefusedWithReason(t *testing.T) {
	directory := t.TempDir()
	authority, pair, err := keys.NewAuthority("rawabi", time.Now())
	require.NoError(t, err)
	require.NoError(t, keys.WriteAuthority(directory, pair))
	controllerPair, err := authority.Issue(keys.RoleController, "a", time.Hour, time.Now())
	require.NoError(t, err)
	files, err := keys.WriteCertificate(directory, "a", controllerPair)
	require.NoError(t, err)
	server, err := keys.Load(files, keys.Options{})
	require.NoError(t, err)
	fake := &fakeController{steps: []func() error{succeed}}
	mux := http.NewServeMux()
	mux.Handle(hazelpitchv1connect.NewOperatorServiceHandler(fake))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	controller := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	t.Cleanup(func() { _ = controller.Close() })
	go func() {
		_ = controller.Serve(tls.NewListener(listener, server.ServerConfig("rawabi", true, keys.RoleController)))
	}()

	credentials, err := keys.Load(keys.Files{Authority: files.Authority}, keys.Options{})
	require.NoError(t, err)
	require.Equal(t, "rawabi", credentials.AuthorityFleet())
	for fleet, want := range map[string]string{"rawabi": "", "empleandes": "it belongs to another fleet"} {
		client, err := New(Config{Controllers: []string{listener.Addr().String()}, Key: "secret", Credentials: credentials, Fleet: fleet, Timeout: testTimeout})
		require.NoError(t, err)
		t.Cleanup(client.Close)
		_, err = client.Apply(t.Context(), &v1.ApplyRequest{})
		if want == "" {
			require.NoError(t, err)
			continue
		}
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.ErrorContains(t, err, want)
	}
	require.Equal(t, 1, fake.calls())
}

func TestConfigErrorNamesMissingFlag(t *testing.T) {
	for want, config := range map[string]Config{
		"--controller IP:port":            {Key: "k"},
		`controller "localhost:1" is not`: {Key: "k", Controllers: []string{"localhost:1"}},
		"--key-file FILE":                 {Controllers: []string{"127.0.0.1:1"}},
	} {
		_, err := New(config)
		require.ErrorContains(t, err, want)
	}
}
