package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against a second relay that tries one back end after the other until the deadline, when it loses its path as well: it
// held a request for 2.4 s, although a third relay could serve it.
func TestPeerThatLosesItsPathAsWellIsPassedOver(t *testing.T) {
	var backEnds []*scriptedBackEnd
	for index := range 8 {
		backEnds = append(backEnds, startBackEnd(t, fmt.Sprint("b", index), serving.StageWhole, answering(200, "ok")))
	}
	relays, paths := newRelayGroup(t, 3, route(nil), nil, backEnds...)
	relays[0].loseAllPaths(t, paths[0], dialsHang)
	paths[1].set(dialsHang)
	peers := forwarding.NewPeers()
	peers.Set([]string{relays[1].datagrams.Address})
	relays[0].forwarder.peers = peers
	client := relays[0].client(t)
	began := time.Now()
	require.Equal(t, 503, client.do("POST", "/path/", "x").status)
	t.Logf("refused after %v", time.Since(began))
	hung := 0
	for _, each := range backEnds {
		hung += paths[1].attemptsAt(each.entry.Address)
	}
	require.Less(t, hung, len(backEnds)-1, "the second relay has tried nearly all back ends")
	peers.Set([]string{relays[1].datagrams.Address, relays[2].datagrams.Address})
	require.Equal(t, 200, client.do("POST", "/path/", "x").status)
	require.Len(t, allRequests(backEnds), 1)
}
