package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// scrape returns the relay's metrics as text. Since a request is counted after its client has read the answer, it first
// waits until no request is being served.
func (r *testRelay) scrape(t *testing.T) string {
	t.Helper()
	require.Eventually(t, func() bool { return r.connections.servingCount() == 0 }, time.Minute, time.Millisecond)
	server := &metrics.AdminServer{Registry: r.metrics.registry, Log: r.ring, Ready: r.readinessError}
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, metrics.PathMetrics, nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	return recorder.Body.String()
}

const metricLabels = `name="relay",role="relay",zone="zone"`

// The metrics show the outcomes of requests.
func TestMetricsCountRequestOutcomes(t *testing.T) {
	broken := startBackEnd(t, "broken", serving.StageWhole, refusing(503))
	sound := startBackEnd(t, "sound", serving.StageWhole, streaming("sound", eventOne))
	relay := newTestRelay(t, route(stream(true)), broken, sound).preferring("broken")
	client := relay.client(t)
	require.Equal(t, eventOne, client.do("GET", "/path/", "").body)
	relay.engineOf("broken").avoidUntil(relay.clock.now() + time.Hour) // the backoff after one refusal is short
	text := relay.scrape(t)
	require.Contains(t, text, `hazelpitch_relay_requests_total{kind="stream",`+metricLabels[:12]+`,outcome="in_time",`+metricLabels[13:]+`} 1`)
	require.Contains(t, text, "hazelpitch_relay_sendings_again_total{"+metricLabels+"} 1")
	require.Contains(t, text, "hazelpitch_relay_first_event_seconds_count{"+metricLabels+"} 1")
	require.Contains(t, text, "hazelpitch_relay_configuration_number{"+metricLabels+"} 1")
	require.Contains(t, text, "hazelpitch_relay_back_ends_avoided{"+metricLabels+"} 1")
	require.Contains(t, text, "hazelpitch_relay_back_ends_ready{"+metricLabels+"} 1")
	require.Contains(t, text, "hazelpitch_relay_log_lines_dropped{"+metricLabels+"} 0")
}

// The metrics show the age of each input and the remaining retry budget.
func TestMetricsShowInputAgesAndRetryBudget(t *testing.T) {
	broken := startBackEnd(t, "broken", serving.StageWhole, refusing(503))
	sound := startBackEnd(t, "sound", serving.StageWhole, streaming("sound", eventOne))
	relay := newTestRelay(t, route(stream(true)), broken, sound).preferring("broken")
	relay.budget.SetBounds(0, time.Hour, 10)
	require.Contains(t, relay.scrape(t), "hazelpitch_relay_retry_budget_left{"+metricLabels+"} 7\n")
	require.Equal(t, 200, relay.client(t).do("GET", "/path/", "").status)
	relay.notices.table.record(relay.clock.now(), &v1.LoadNotice{Relay: 2, Sequence: 1})
	text := relay.scrape(t)
	require.Contains(t, text, "hazelpitch_relay_retry_budget_left{"+metricLabels+"} 6\n")
	for _, age := range []string{"leader", "configuration", "listing", "notice"} {
		require.Regexp(t, "hazelpitch_relay_"+age+`_age_seconds\{\S+\} [0-9.e+-]+`, text)
	}
	require.Contains(t, text, "hazelpitch_relay_gap_seconds_count{"+metricLabels+"} 1\n")
}

// The metrics show refusals by reason.
func TestMetricsShowRefusalReasons(t *testing.T) {
	busy := startBackEnd(t, "busy", serving.StageWhole, refusing(503))
	relay := newTestRelay(t, route(nil), busy)
	require.Equal(t, 503, relay.client(t).do("GET", "/path/", "").status)
	text := relay.scrape(t)
	require.Contains(t, text, `reason="the back ends are busy"`)
	require.Contains(t, text, `outcome="refused"`)
}

// Guards against an answer of which nobody can tell later how it was framed and how it ended.
func TestMetricsShowHowAnswersEnd(t *testing.T) {
	for end, test := range map[string]struct {
		framing string
		script  script
	}{
		"declared":   {"length", answering(200, "whole")},
		"undeclared": {"close", writing(brokenHead + "\r\nperhaps whole")},
		"broken":     {"chunks", writing(brokenHead + "Transfer-Encoding: chunked\r\n\r\n9\r\ncut")},
	} {
		t.Run(end, func(t *testing.T) {
			relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, test.script))
			relay.client(t).do("GET", "/path/", "")
			require.Contains(t, relay.scrape(t), `hazelpitch_relay_answers_total{end="`+end+`",framing="`+test.framing+`",`+metricLabels+`} 1`)
		})
	}
}

// Guards against streams that go on at another back end without a trace of where and why.
func TestMetricsShowWhereStreamsGoOn(t *testing.T) {
	first := startBackEnd(t, "first", serving.StageWhole, streaming("first", eventOne, "cut"))
	second := startBackEnd(t, "second", serving.StageWhole, streaming("second", eventTwo))
	first.entry.Software, second.entry.Software = "v1", "v1"
	relay := newTestRelay(t, route(stream(true)), first, second).preferring("first")
	lines := &logLines{}
	relay.log = requestLog{logger: zerolog.New(lines)}
	require.True(t, relay.client(t).do("GET", "/path/", "").isComplete)
	require.Contains(t, lines.String(), `"began_software":"v1","next_software":"v1","evidence":"own_run","evidence_age_ms":`)
	require.Contains(t, relay.scrape(t), `hazelpitch_relay_streams_continued_total{cause="break",evidence="own_run",`+metricLabels[:12]+`,role="relay",software="same",zone="zone"} 1`)
	relay = newTestRelay(t, route(stream(true)), second)
	require.True(t, relay.client(t).do("GET", "/path/", "", "T-Last: 1").isComplete)
	require.Contains(t, relay.scrape(t), `hazelpitch_relay_streams_continued_total{cause="client",evidence="only_version",`+metricLabels[:12]+`,role="relay",software="same",zone="zone"} 1`)
}
