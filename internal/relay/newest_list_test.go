package relay

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// leave puts a list in force in which a back end leaves.
func (r *testRelay) leave(id string) {
	r.relist(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == id })
}

// relist puts a list in force whose entries are changed.
func (r *testRelay) relist(change func(entry *serving.BackEnd)) {
	next := *r.view.Load()
	var listed []serving.BackEnd
	for _, known := range next.byService["service"] {
		entry := known.BackEnd
		change(&entry)
		listed = append(listed, entry)
	}
	r.fleet.applyListing(listed, &next)
	r.view.Store(&next)
	r.fleet.migrateRuns()
}

// A prompt may be read for seconds. The engine that generates is picked from the list as it is
// then, not from that of the request's arrival: one that leaves meanwhile gets nothing more.
func TestDecodingEngineIsPickedFromTheNewestList(t *testing.T) {
	var relay *testRelay
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request received) bool {
		relay.leave("leaving")
		reply(connection, request, 200, "handle")
		return true
	})
	leaving := startBackEnd(t, "leaving", serving.StageDecode, streaming("leaving", eventOne))
	staying := startBackEnd(t, "staying", serving.StageDecode, streaming("staying", eventOne))
	relay = newTestRelay(t, route(stream(false)), reader, leaving, staying).preferring("leaving")
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, eventOne, answer.body)
	require.Empty(t, leaving.seen())
	require.Len(t, staying.seen(), 1)
}

// The same for a request that is sent again after its first back end has refused it.
func TestNextBackEndIsPickedFromTheNewestList(t *testing.T) {
	var relay *testRelay
	refuses := startBackEnd(t, "refuses", serving.StageWhole, func(connection net.Conn, request received) bool {
		relay.leave("leaving")
		return refusing(503)(connection, request)
	})
	leaving := startBackEnd(t, "leaving", serving.StageWhole, answering(200, "leaving"))
	staying := startBackEnd(t, "staying", serving.StageWhole, answering(200, "staying"))
	relay = newTestRelay(t, route(nil), refuses, leaving, staying)
	relay.engineOf("leaving").addWork(placement.Work{Streams: 1})
	relay.engineOf("staying").addWork(placement.Work{Streams: 2})
	require.Equal(t, "staying", relay.client(t).do("GET", "/path/", "").body)
	require.Empty(t, leaving.seen())
}
