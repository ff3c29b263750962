package controller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against calls that get no answer when a controller stops while the other controllers are silent: the operator's
// connection was reset 1 s after the stop, because the call waited up to 3 s for them.
func TestStoppingControllerAnswersPendingCalls(t *testing.T) {
	core := &scriptedCore{} // answers nothing, as a leader whose followers are silent
	store := documentStore{loop: newLoop(core, func() time.Duration { return 0 }), calls: newCalls()}
	arrived := make(chan struct{})
	routes := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(arrived)
		if store.Put(request.Context(), &serving.Configuration{Number: 1}, nil) != nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serveHTTP(ctx, listener, routes, nil, nil) }()
	go func() { <-arrived; stop() }()
	request, err := http.NewRequest(http.MethodPut, "http://"+listener.Addr().String(), strings.NewReader("a document"))
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NoError(t, <-served)
}
