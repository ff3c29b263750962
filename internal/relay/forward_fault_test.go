package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/relay/forwarding"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

const refusalHead = "HTTP/1.1 503 X\r\nT-Id: ID\r\nContent-Length: 2\r\n" + forwarding.HeaderRefusal + ": "

// peerFaults are the faults of a peer, with the status that the client receives for requests that must not be repeated (unsafe)
// and for those that may be (safe), when another peer serves.
var peerFaults = map[string]struct {
	fault  script
	unsafe int
	safe   int
}{
	"reset without an answer":     {resetting(""), 502, 200},
	"closed without an answer":    {writing(""), 502, 200},
	"closed within the head":      {writing("HTTP/1.1 200 OK\r\nT-Id"), 502, 200},
	"body shorter than declared":  {writing(brokenHead + "Content-Length: 9\r\n\r\nshort"), 502, 200},
	"chunks without an end":       {writing(brokenHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 502, 200},
	"bytes that are not HTTP":     {writing("\x00\x01garbage\r\n\r\n"), 502, 200},
	"answer to another request":   {writing("HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 1\r\n\r\nx"), 502, 200},
	"refusal cut off":             {writing(refusalHead + "not-run\r\n\r\n"), 200, 200},
	"may have run":                {writing(refusalHead + "may-have-run\r\n\r\nx\n"), 502, 200},
	"refusal that is not known":   {writing(refusalHead + "of a later build\r\n\r\nx\n"), 502, 200},
	"unable":                      {writing(refusalHead + "unable\r\n" + forwarding.HeaderAttempts + ": 0\r\n\r\nx\n"), 200, 200},
	"unable, without attempts":    {writing(refusalHead + "unable\r\n\r\nx\n"), 200, 200},
	"unable, no attempts left":    {writing(refusalHead + "unable\r\n" + forwarding.HeaderAttempts + ": 2\r\n\r\nx\n"), 503, 503},
	"not run":                     {writing(refusalHead + "not-run\r\n\r\nx\n"), 503, 503},
	"may have run, none left":     {writing(refusalHead + "may-have-run\r\n" + forwarding.HeaderAttempts + ": 2\r\n\r\nx\n"), 502, 502},
	"attempts that are no number": {writing(refusalHead + "may-have-run\r\n" + forwarding.HeaderAttempts + ": x\r\n\r\nx\n"), 502, 200},
}

// Guards against promises that a peer has not made, and against sending a request to a third relay that the peer may have run.
func TestFaultsOfAPeer(t *testing.T) {
	for name, row := range peerFaults {
		for kind, change := range map[string]func(*serving.Route){"unsafe": nil, "safe": safe, "stream": stream(false), "resumable stream": stream(true)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				want, answer := row.unsafe, answering(200, "ok")
				if kind == "safe" || kind == "resumable stream" {
					want = row.safe
				}
				if kind != "unsafe" && kind != "safe" {
					answer = streaming("seal", eventOne)
				}
				backEnds := startThree(t, answer)
				peer := startBackEnd(t, "peer", serving.StageWhole, row.fault)
				relays, paths := newRelayGroup(t, 2, route(change), nil, backEnds...)
				paths[0].relays[peer.entry.Address] = true
				relays[0].loseAllPaths(t, paths[0], dialsRefused)
				relays[0].forwarder.setPeers([]string{peer.entry.Address, relays[1].datagrams.Address})
				client, status, before := relays[0].client(t), 0, 0
				for len(peer.receivedRequests()) == 0 { // the other peer may be asked first
					before = len(allRequests(backEnds))
					status = client.do("POST", "/path/", "x").status
				}
				require.Equal(t, want, status)
				served := 0
				if want == 200 {
					served = 1
				}
				require.Len(t, allRequests(backEnds), before+served)
			})
		}
	}
}
