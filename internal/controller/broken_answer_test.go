package controller

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against an answer of an engine or the platform that is none by the grammar of HTTP/1.1, and that a controller uses: for orders,
// polls and the machine list, and for all calls that are made on the users' platform.
func TestBrokenAnswersAreNotUsed(t *testing.T) {
	t.Parallel()
	list := wholeDocument(t, enginecontract.MachineList{Version: 4, Machines: []enginecontract.Machine{{Name: "e"}}})
	dial := (&net.Dialer{}).DialContext
	for _, way := range append(brokenanswer.Heads(list), brokenanswer.Bodies(list)...) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return halfhead.Reply{Pieces: []string{way.Text}} })
			require.NoError(t, err)
			t.Cleanup(server.Close)
			received := enginecontract.MachineList{}
			require.Error(t, get(newExternalClient(dial, maxMachineListBytes), server.Address(), enginecontract.PathMachines, &received))
			require.Empty(t, received.Machines)
			transport := newOutsideTransport(dial)
			t.Cleanup(transport.CloseIdleConnections)
			for _, client := range []*http.Client{{Transport: transport}, expiringClient(dial, func() time.Duration { return time.Minute })} {
				answer, err := client.Get("http://" + server.Address())
				if err == nil {
					err = readAndClose(answer)
				}
				require.Equal(t, way.Rule, grammar.BrokenRule(err), "%v", err)
			}
			require.Equal(t, 3, server.Requests())
		})
	}
}

func readAndClose(answer *http.Response) error {
	defer answer.Body.Close()
	_, err := io.Copy(io.Discard, answer.Body)
	return err
}
