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

// TestCutOffRegionGoesOn runs a gateway whose own controller lost its quorum while all
// others are silent: between two silent ones its own is always asked, so that the directory
// stays confirmed, and it takes a key that it has not met from there.
func TestCutOffRegionGoesOn(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("e1", engine.address(), v1.Role_ROLE_MIXED))
	var mutex sync.Mutex
	var asked []string
	note := func(who string) {
		mutex.Lock()
		defer mutex.Unlock()
		asked = append(asked, who)
	}
	silent := []string{startSilent(t, func() { note("silent") }), startSilent(t, func() { note("silent") }), startSilent(t, func() { note("silent") })}
	controller.synced = func() { note("own") }
	gateway := startGateway(t, testSettings(append([]string{controller.address}, silent...)...))

	controller.behind.Store(true)
	require.Eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return slices.Contains(asked, "silent")
	}, eventually, often)
	answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", wholeBody, map[string]string{HeaderKind: "matching"})
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	require.Eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		silences := 0
		for _, who := range asked {
			if who == "silent" {
				silences++
			}
		}
		return silences >= len(silent)
	}, eventually, often, "each is asked in its turn")
	mutex.Lock()
	defer mutex.Unlock()
	for i := 1; i < len(asked); i++ {
		require.False(t, asked[i] == "silent" && asked[i-1] == "silent", "%v", asked)
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
