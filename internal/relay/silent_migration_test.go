package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a run that is lost because its engine fell silent while it stopped the run for a migration: the relay took
// the silence for a refusal and did not learn where the run's KV cache is.
func TestRunIsMovedByAnEngineThatIsSilentMeanwhile(t *testing.T) {
	t.Parallel()
	began, stopped := make(chan struct{}), make(chan struct{})
	former := startBackEnd(t, "former", serving.StageDecode, func(connection net.Conn, request backEndRequest) bool {
		switch {
		case request.line != "POST /move":
			_, _ = io.WriteString(connection, strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "former").Replace(streamHead))
			_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
			close(began)
			<-stopped
			return false
		case strings.HasSuffix(request.body, "true"):
			time.Sleep(1500 * time.Millisecond)
			close(stopped)
		}
		writeAnswer(connection, request, 200, "handle")
		return true
	})
	next := startBackEnd(t, "next", serving.StageDecode, streaming("next", eventTwo+eventThree))
	relay := newTestRelay(t, route(func(r *serving.Route) { stream(false)(r); r.MaxAttempts = 1 }), former, next).preferring("former")
	client := relay.client(t)
	client.send("POST", "/path/", "x")
	<-began
	require.Eventually(t, func() bool { return relay.engineOf("former").moverCount() == 1 }, time.Minute, time.Millisecond)
	relay.engineOf("next").removeWork(relay.engineOf("next").currentLoad(0).ownWork) // frees its slots
	relay.changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == "former" })
	answer := client.read()
	require.True(t, answer.isComplete, "the answer was cut")
	require.Equal(t, eventOne+eventTwo+eventThree, answer.body)
}
