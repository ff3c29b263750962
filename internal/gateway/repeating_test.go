package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// TestContinueElsewhere shows that after an engine's crash another engine continues after the
// tokens that the caller has received, and that it receives their number and text.
func TestContinueElsewhere(t *testing.T) {
	t.Parallel()
	const blockAfterTokens, delivered = 3, 4
	first, second := startEngine(t, engineFault{cutAfter: delivered}), startEngine(t)
	first.block, first.blockAfter = make(chan struct{}), blockAfterTokens
	controller := startController(t, engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	answer := openStream(t, gateway)
	version := controller.replaceBackEnds(
		engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED), engineBackEnd("e2", second.address(), v1.Role_ROLE_MIXED))
	require.Eventually(t, func() bool { return controller.known.Load() >= version }, eventually, often)
	close(first.block)
	rest, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	text := ""
	for line := range strings.Lines("d" + string(rest)) {
		text += gjson.Get(strings.TrimPrefix(line, "data: "), "choices.0.delta.content").String()
	}
	require.Equal(t, answerText, text)
	require.Equal(t, verdict.Ran.String(), answer.Trailer.Get(verdict.Trailer))
	continued := second.requests[0]
	require.Equal(t, strconv.Itoa(delivered), continued.Header.Get(enginecontract.HeaderContinueFrom))
	require.Equal(t, strings.Join(answerTokens[:delivered], ""), gjson.Get(second.bodies[0], enginecontract.FieldContinueText).String())
	require.NotEqual(t, first.requests[0].Header.Get(enginecontract.HeaderExchange), continued.Header.Get(enginecontract.HeaderExchange))
}

// TestResendThroughAnotherGateway shows that the resend of a non-repeatable request, through another gateway
// or a restarted one, does not run again.
func TestResendThroughAnotherGateway(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", []fault.Fault{{Kind: fault.Late, Count: 1, DelayMs: 300}})
	controller := startController(t, pageBackEnd("p1", service.Address()))
	first := startGateway(t, testSettings(controller.address))
	second := startGateway(t, testSettings(controller.address))
	send := func(gateway *testGateway) callerAnswer {
		return call(t, http.MethodPost, gateway.url+"/registrations", "lot=7", map[string]string{enginecontract.HeaderIdempotencyKey: "k"})
	}
	// The caller disconnects and resends through another gateway while the request still runs.
	lost := dial(t, first, rawRequest(http.MethodPost, "/registrations", "", "k", "lot=7"))
	waitUntilRunning(t, service)
	require.NoError(t, lost.Close())
	early := send(second)
	if early.status != http.StatusOK { // the run may have ended by now
		require.Equal(t, http.StatusConflict, early.status, early.body)
		require.Equal(t, codeStillRunning, early.errorCode)
		require.Equal(t, verdict.MayHaveRun.String(), early.verdict)
		require.NotEmpty(t, early.header.Get("Retry-After"))
	}
	require.Eventually(t, func() bool { return controller.outcomes() == 1 }, eventually, often)
	first.stop()
	restarted := startGateway(t, testSettings(controller.address))
	for _, gateway := range []*testGateway{second, restarted} {
		answer := send(gateway)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		require.Equal(t, page.Receipt("/registrations", "k", []byte("lot=7")), answer.body)
		require.Equal(t, "true", answer.header.Get(headerReplayed))
		require.Equal(t, verdict.Ran.String(), answer.verdict)
	}
	require.Equal(t, 1, service.Runs().Served)
}

// TestRetriesDoNotAmplify shows that when every engine fails every request, retries add at
// most their budget to the load.
func TestRetriesDoNotAmplify(t *testing.T) {
	t.Parallel()
	const requests = 200
	broken := make([]engineFault, 10*requests)
	for i := range broken {
		broken[i] = refusedUnknown
	}
	first, second := startEngine(t, broken...), startEngine(t, broken...)
	controller := startController(t,
		engineBackEnd("e1", first.address(), v1.Role_ROLE_MIXED), engineBackEnd("e2", second.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	for range requests {
		answer := chat(t, gateway, "matching", unstreamedBody)
		require.GreaterOrEqual(t, answer.status, http.StatusInternalServerError)
		require.NotEmpty(t, answer.header.Get("Retry-After"))
	}
	_, one, _ := first.counts()
	_, two, _ := second.counts()
	require.LessOrEqual(t, one+two, requests+int(retryShare*requests)+maximumRetryCredit)
	require.Greater(t, one+two, requests, "some retries are made")
}

// TestPlannedChangesSpendNoRetries shows that a planned change that gateways do not know yet fails no request, however
// many requests it affects: exchanges that are declined spend no retries.
func TestPlannedChangesSpendNoRetries(t *testing.T) {
	t.Parallel()
	const requests = 60
	turnedAwayBy := []string{enginecontract.CodeDraining, enginecontract.CodeChanging, enginecontract.CodeLeaving, enginecontract.CodeWrongRole, enginecontract.CodeDraining}
	serving := startEngine(t)
	backEnds := []*v1.BackEnd{engineBackEnd("serving", serving.address(), v1.Role_ROLE_MIXED)}
	refused := 0
	var changing []*testEngine
	for i, code := range turnedAwayBy {
		faults := slices.Repeat([]engineFault{{refuse: http.StatusConflict, code: code, runState: enginecontract.RunStateNotRun}}, requests)
		engine := startEngine(t, faults...)
		changing = append(changing, engine)
		backEnds = append(backEnds, engineBackEnd(fmt.Sprintf("changing-%d", i), engine.address(), v1.Role_ROLE_MIXED))
	}
	gateway := startGateway(t, testSettings(startController(t, backEnds...).address))
	for range requests {
		answer := chat(t, gateway, "matching", unstreamedBody)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
	}
	for _, engine := range changing {
		_, times, _ := engine.counts()
		refused += times
	}
	require.Greater(t, refused, maximumRetryCredit+int(retryShare*requests), "more exchanges were declined than the retry budget allows")
}
