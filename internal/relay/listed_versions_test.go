package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Guards against streams that go on nowhere while a leader of the former build leads, which lists no software versions: the relay
// reads those of new incarnations from the platform's list, once.
func TestVersionsThatTheLeaderDoesNotListAreRead(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, refusing(503)))
	relay.relayCount.Store(1)
	var reads atomic.Int64
	relay.fleet.readListing = func(context.Context, *http.Client, int) (serving.Listing, error) {
		reads.Add(1)
		return serving.Listing{Calls: 1, BackEnds: []serving.BackEnd{{ID: "i-1/5", Software: "v1"}, {ID: "i-2/6", Software: "v2"}, {ID: "i-1/4", Software: "v3"},
			{ID: "i-3/7", Replica: "i-3", Address: "127.0.0.1:1", Software: "v3"}}}, nil
	}
	list := func(version uint64, ids ...string) {
		listed := &v1.Listing{}
		for _, id := range ids {
			entry := &v1.ListedBackEnd{Id: id, Service: "service", Address: "127.0.0.1:1", Role: v1.Role_ROLE_DECODE}
			if replica, _, hasIncarnation := strings.Cut(id, "/"); hasIncarnation {
				entry.Replica, entry.BornMs = replica, 1
			}
			listed.BackEnds = append(listed.BackEnds, entry)
		}
		require.True(t, relay.fleet.ApplyUpdate(&v1.WatchResponse{ListingVersion: version, PackedListing: packed.Pack(listed)}))
	}
	versionOf := func(id string) streamorigin.Version {
		return relay.view.Load().byIncarnation[newBackEnd(serving.BackEnd{ID: id}, 0).incarnationHash].version
	}
	awaitRead := func(id, software string) {
		t.Helper()
		require.Eventually(t, func() bool {
			relay.fleet.BeforeWatch(nil)
			return versionOf(id) == streamorigin.VersionOf(software)
		}, time.Minute, time.Millisecond)
	}
	list(2, "i-1/5")
	require.Equal(t, streamorigin.Unknown, versionOf("i-1/5"))
	awaitRead("i-1/5", "v1")
	require.EqualValues(t, 1, reads.Load())
	for range 10 {
		relay.fleet.BeforeWatch(nil)
	}
	list(3, "i-1/5", "i-3") // a leader of the first format names no incarnations
	awaitRead("i-3", "v3")
	list(4, "i-1/5", "i-2/6")
	awaitRead("i-2/6", "v2")
	require.Equal(t, streamorigin.VersionOf("v1"), versionOf("i-1/5"))
	require.EqualValues(t, 1, reads.Load(), "what was read once is known")
}
