package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestCutOffRegionGoesOn guards against a gateway that cannot work in a region that is cut off: its local controller has lost
// the quorum and all others do not answer. The gateway must call the local one between any two silent ones, so that the
// directory stays confirmed, and must be able to look up an unknown API key at the local controller.
func TestCutOffRegionGoesOn(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	var mutex sync.Mutex
	var called []string
	recordCall := func(controllerName string) {
		mutex.Lock()
		defer mutex.Unlock()
		called = append(called, controllerName)
	}
	silent := []string{startSilent(t, func() { recordCall("silent") }), startSilent(t, func() { recordCall("silent") }), startSilent(t, func() { recordCall("silent") })}
	controller.synced = func() { recordCall("own") }
	gateway := startGateway(t, testSettings(append([]string{controller.address}, silent...)...))

	controller.behind.Store(true)
	require.Eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return slices.Contains(called, "silent")
	}, eventually, often)
	answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", unstreamedBody, map[string]string{HeaderKind: "matching"})
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	require.Eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		silences := 0
		for _, who := range called {
			if who == "silent" {
				silences++
			}
		}
		return silences >= len(silent)
	}, eventually, often, "each controller is called in turn")
	mutex.Lock()
	defer mutex.Unlock()
	for i := 1; i < len(called); i++ {
		require.False(t, called[i] == "silent" && called[i-1] == "silent", "%v", called)
	}
}

// startSilent accepts connections and never answers.
func startSilent(t *testing.T, accepted func()) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var connections []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted()
			connections = append(connections, connection)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		for _, connection := range connections {
			_ = connection.Close()
		}
	})
	return listener.Addr().String()
}
