package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/stream"
)

// TestSharedPartsOfChats checks which parts of a prompt may be suspected: all messages but the last.
func TestSharedPartsOfChats(t *testing.T) {
	for messages, expected := range map[string][]string{
		`[]`:                          nil,
		`[{"a":1}]`:                   nil,
		`[{"a":1},{"b":2}]`:           {`{"a":1}`},
		`[{"a":1},{"b":2},{"a":1},3]`: {`{"a":1}`, `{"b":2}`},
		`"text"`:                      nil,
	} {
		request := &chatRequest{format: stream.FormatChat, prompt: []byte(messages)}
		require.Equal(t, expected, request.sharedPartIDs(), messages)
		request.format = stream.FormatCompletions
		require.Empty(t, request.sharedPartIDs())
	}
}

// TestMessagesThatEndEnginesAreKeptAway guards against chats that are all different but share a message which crashes each engine:
// the gateways report it as a part, and refuse chats with it once the controllers have quarantined it. Others are served.
func TestMessagesThatEndEnginesAreKeptAway(t *testing.T) {
	const deadly, system = `{"role":"system","content":"` + crashingText + `"}`, `{"role":"system","content":"be kind"}`
	ending := &crashingBackEnds{}
	var backEnds []*v1.BackEnd
	for number := range 4 {
		backEnds = append(backEnds, engineBackEnd(fmt.Sprint("b", number), ending.start(t, startEngine(t)), v1.Role_ROLE_MIXED))
	}
	controller := &quarantiningController{
		testController: startController(t, backEnds...), ledger: quarantine.NewLedger(), informed: map[string]bool{}, partCrashes: map[quarantine.Signature]int{},
	}
	controller.serveAs(t, controller)
	gateway := startGateway(t, testSettings(controller.address))
	sent := 0
	send := func(kind string, messages ...string) callerAnswer {
		sent++
		messages = append(messages, fmt.Sprintf(`{"role":"user","content":"request %d"}`, sent))
		return call(t, http.MethodPost, gateway.url+"/v1/chat/completions", `{"model":"base","messages":[`+strings.Join(messages, ",")+`]}`, map[string]string{HeaderKind: kind})
	}
	require.Equal(t, http.StatusOK, send("matching", system).status)
	require.NotEqual(t, http.StatusOK, send("once", system, deadly).status)
	const tenant = "one" // the owner of the key that call sends
	deadlyPart, systemPart := quarantine.PartSignatureOf(tenant, deadly), quarantine.PartSignatureOf(tenant, system)
	require.Eventually(t, func() bool {
		return controller.partCrashCount(deadlyPart) == 1 && controller.partCrashCount(systemPart) == 1
	}, eventually, often)
	controller.quarantinePart(deadlyPart)
	require.Eventually(t, func() bool { return controller.isKnownTo(1) }, eventually, often)
	for range 5 {
		answer := send("matching", system, deadly)
		require.Equal(t, codeRequestQuarantined, answer.errorCode)
		require.Equal(t, http.StatusOK, send("matching", system).status)
	}
	require.Equal(t, 1, ending.crashCount())
}
