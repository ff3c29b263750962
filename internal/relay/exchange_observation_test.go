package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against cut requests whose log lines do not say who ended the exchange and how long the back end had been silent.
func TestFailedAttemptsAreObserved(t *testing.T) {
	backEnd := startBackEnd(t, "one", serving.StageWhole, resetting(""))
	relay := newTestRelay(t, route(nil), backEnd)
	lines := &logLines{}
	relay.log = requestLog{logger: zerolog.New(lines)}
	require.Equal(t, 502, relay.client(t).do("POST", "/path/", "x").status)
	text := relay.scrape(t)
	require.Contains(t, text, `hazelpitch_relay_attempts_failed_total{cause="broken",`+metricLabels+`} 1`)
	require.Regexp(t, `"event":"attempt_failed".*"lasted_ms":\d+,"silent_ms":\d+,"new_connection":true`, lines.String())
	require.Regexp(t, `"event":"request_ended".*"cut":false,"client_gone":false,"stopping":false`, lines.String())
}

// Guards against requests that end without an answer, a log line or a count because they cannot be read completely.
func TestUnreadRequestsAreCounted(t *testing.T) {
	relay := newTestRelay(t, route(nil), startBackEnd(t, "one", serving.StageWhole, answering(200, "ok")))
	lines := &logLines{}
	relay.log = requestLog{logger: zerolog.New(lines)}
	client := relay.client(t)
	_, err := client.connection.Write([]byte("POST /path/ HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\nhalf"))
	require.NoError(t, err)
	require.NoError(t, client.connection.Close())
	require.Eventually(t, func() bool { return lines.String() != "" }, time.Minute, time.Millisecond)
	require.Contains(t, lines.String(), `"event":"request_unread"`)
	require.Contains(t, relay.scrape(t), `hazelpitch_relay_requests_unread_total{`+metricLabels+`} 1`)
}
