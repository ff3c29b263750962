package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func TestLoadIncludesOwnRequests(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed, withLoad(Load{Running: 4})))
	m1 := router.candidates["m1"]
	load := func() loadEstimate { return m1.othersLoad().plus(m1.ownLoad()) }
	for i := range 3 {
		router.Observe(time.Second, Dispatch{BackEnd: "m1", Exchange: fmt.Sprint(i), PromptTokens: 100})
	}
	require.Equal(t, loadEstimate{requests: 7, prefillTokens: 300}, load())

	router.Observe(2*time.Second, AnswerHeaders{BackEnd: "m1", Load: &Load{Running: 7}, Age: 500 * time.Millisecond})
	require.Equal(t, loadEstimate{requests: 7}, load(), "the report covers requests sent before its measurement")

	router.Observe(3*time.Second, Completion{BackEnd: "m1", Exchange: "1"})
	require.Equal(t, loadEstimate{requests: 6}, load(), "the report still counts the finished request")

	router.Observe(4*time.Second, AnswerHeaders{BackEnd: "m1", Load: &Load{Running: 6}})
	require.Equal(t, loadEstimate{requests: 6}, load())
}

// A gateway's own prompts count as prefilled from their first token on; the prefilled share of other gateways' prompts is
// estimated from the gateway's own.
func TestPrefillTokensAreEstimated(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed, withLoad(Load{Running: 4})))
	m1 := router.candidates["m1"]
	load := func() loadEstimate { return m1.othersLoad().plus(m1.ownLoad()) }
	send := func(exchange string) {
		router.Observe(0, Dispatch{BackEnd: "m1", Exchange: exchange, PromptTokens: 1000})
	}
	send("a")
	router.Observe(time.Second, FirstToken{BackEnd: "m1", Exchange: "a"})
	router.Observe(4*time.Second, Completion{BackEnd: "m1", Exchange: "a"})
	require.Equal(t, loadEstimate{requests: 4, prefillTokens: 4 * 250}, load(), "a request is in prefill for a quarter of its time")

	send("b")
	router.Observe(5*time.Second, AnswerHeaders{BackEnd: "m1", Load: &Load{Running: 5}})
	require.Equal(t, loadEstimate{requests: 5, prefillTokens: 4*250 + 1000}, load())
	router.Observe(6*time.Second, FirstToken{BackEnd: "m1", Exchange: "b"})
	require.Equal(t, loadEstimate{requests: 5, prefillTokens: 4 * 250}, load(), "this gateway's prompt is prefilled")
}

// If the reports of two back ends are old, the one that was idle then is only slightly preferred.
func TestOldReportsWeighLess(t *testing.T) {
	busy := engine("m1", enginecontract.RoleMixed, withLoad(Load{WaitingPromptTokens: 100_000}))
	router := newTestRouter(t, busy, engine("m2", enginecontract.RoleMixed, withLoad(Load{})))
	difference := func(now time.Duration) float64 {
		_, err := router.Pick(now, request(), nil)
		require.NoError(t, err)
		return router.candidates["m1"].load.prefillTokens - router.candidates["m2"].load.prefillTokens
	}
	require.InDelta(t, 100_000, difference(0), 1)
	require.InDelta(t, 50_000, difference(loadHalfLife), 1)
	require.InDelta(t, 100_000/256.0, difference(ConfirmationLimit), 1)
}

// The hit rate at homes is learned only from requests that were sent to a home.
func TestHomeHitRateIsLearned(t *testing.T) {
	router := newTestRouter(t, engine("m1", enginecontract.RoleMixed))
	run := func(home bool, cached int) {
		router.Observe(0, Dispatch{BackEnd: "m1", Exchange: "x", PromptTokens: 1000, CachedAtHome: home})
		router.Observe(0, Completion{BackEnd: "m1", Exchange: "x", PromptTokens: 1000, CachedTokens: cached})
	}
	for range 300 {
		run(false, 1000)
		run(true, 100)
	}
	require.InDelta(t, 0.1, float64(router.prefixIndex.homeHitRate), 0.01)
}
