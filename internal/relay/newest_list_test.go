package relay

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// markLeaving applies a list in which the given back end is leaving.
func (r *testRelay) markLeaving(id string) {
	r.changeListing(func(entry *serving.BackEnd) { entry.Leaving = entry.Leaving || entry.ID == id })
}

// changeListing applies a list with changed entries.
func (r *testRelay) changeListing(change func(entry *serving.BackEnd)) {
	next := *r.view.Load()
	var listed []serving.BackEnd
	for _, record := range next.byService["service"] {
		entry := record.BackEnd
		change(&entry)
		listed = append(listed, entry)
	}
	r.fleet.applyListing(listed, &next)
	r.view.Store(&next)
	r.fleet.migrateRuns()
}

// A prefill may take seconds. The decoding engine must be selected from the list as it is after the prefill, not as it was
// when the request arrived: an engine that leaves meanwhile is sent nothing.
func TestDecodingEngineIsSelectedFromTheNewestList(t *testing.T) {
	var relay *testRelay
	reader := startBackEnd(t, "reader", serving.StagePrefill, func(connection net.Conn, request backEndRequest) bool {
		relay.markLeaving("leaving")
		writeAnswer(connection, request, 200, "handle")
		return true
	})
	leaving := startBackEnd(t, "leaving", serving.StageDecode, streaming("leaving", eventOne))
	staying := startBackEnd(t, "staying", serving.StageDecode, streaming("staying", eventOne))
	relay = newTestRelay(t, route(stream(false)), reader, leaving, staying).preferring("leaving")
	answer := relay.client(t).do("POST", "/path/", "x", longPrompt...)
	require.Equal(t, eventOne, answer.body)
	require.Empty(t, leaving.receivedRequests())
	require.Len(t, staying.receivedRequests(), 1)
}

// A request that is sent again after its first back end has refused it goes to a back end of the newest list.
func TestNextBackEndIsSelectedFromTheNewestList(t *testing.T) {
	var relay *testRelay
	refuses := startBackEnd(t, "refuses", serving.StageWhole, func(connection net.Conn, request backEndRequest) bool {
		relay.markLeaving("leaving")
		return refusing(503)(connection, request)
	})
	leaving := startBackEnd(t, "leaving", serving.StageWhole, answering(200, "leaving"))
	staying := startBackEnd(t, "staying", serving.StageWhole, answering(200, "staying"))
	relay = newTestRelay(t, route(nil), refuses, leaving, staying)
	relay.engineOf("leaving").addWork(placement.Work{Streams: 1})
	relay.engineOf("staying").addWork(placement.Work{Streams: 2})
	require.Equal(t, "staying", relay.client(t).do("GET", "/path/", "").body)
	require.Empty(t, leaving.receivedRequests())
}
