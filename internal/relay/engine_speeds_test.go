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

// reportingLoad returns a script that streams one event and reports a load.
func reportingLoad(load string) script {
	return func(connection net.Conn, request backEndRequest) bool {
		head := strings.NewReplacer("ID", string(request.head.Peek("T-Id")), "SEAL", "engine").Replace(streamHead)
		head = strings.TrimSuffix(head, "\r\n") + "T-Load: " + load + "\r\n\r\n"
		_, _ = io.WriteString(connection, head)
		_, _ = connection.Write(appendChunk(nil, []byte(eventOne)))
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		return true
	}
}

// Guards against speeds that stay at the relay that saw them: the owner of an engine decides by what all relays report,
// and reports it to the leader.
func TestOwnerLearnsTheSpeedsThatOtherRelaysSee(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, reportingLoad("1,0,8,170"))
	querying, owner := newPair(t, engine)
	owner.ownedBy(owner.datagrams.Address)
	querying.startNotices(t)
	require.Empty(t, owner.engineSpeeds())

	require.Equal(t, eventOne, querying.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	hash := owner.engineOf("engine").hash
	require.Eventually(t, func() bool { return owner.speeds.HasReports("service") }, time.Minute, time.Millisecond)
	speeds := owner.engineSpeeds()
	require.Len(t, speeds, 1)
	require.Equal(t, hash, speeds[0].GetEngine())
	require.Positive(t, speeds[0].GetStepNs())
	require.Empty(t, querying.engineSpeeds(), "only the owner reports")
}

// Guards against speeds that take effect where engines report none.
func TestEnginesWithoutReportsHaveNoSpeed(t *testing.T) {
	engine := startBackEnd(t, "engine", serving.StageDecode, reportingLoad("1,0,8"))
	relay := newTestRelay(t, route(stream(true)), engine)
	require.Equal(t, eventOne, relay.client(t).do("POST", "/path/", "x", shortPrompt...).body)
	require.False(t, relay.speeds.HasReports("service"))
	require.Empty(t, relay.engineSpeeds())
	candidates := relay.candidatesOf(relay.view.Load().byService["service"], nil, func(*backEnd) bool { return false }, relay.clock.now())
	require.Zero(t, candidates.engines[0].StepTime)
}
