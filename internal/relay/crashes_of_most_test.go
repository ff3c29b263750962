package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Guards against crashes that are never reported because most back ends of a service crash within two seconds: a relay to which more
// than half of them refuse connections takes its own path for lost, and nobody connects to them again once the list shows others.
func TestCrashesOfMostBackEndsAreReported(t *testing.T) {
	const count = 8
	var backEnds []*scriptedBackEnd
	for number := range count {
		backEnds = append(backEnds, startCrashingBackEnd(t, fmt.Sprint(number), serving.StageWhole, answering(200, "ok")))
	}
	relay := newTestRelay(t, route(func(config *serving.Route) { safe(config); config.MaxAttempts = 1 }), backEnds...)
	crashed := func() int {
		ended := 0
		for _, backEnd := range backEnds {
			ended += len(backEnd.receivedRequests())
		}
		return ended
	}
	for number := 0; crashed() < count-1; number++ {
		require.Less(t, number, 10*count)
		// The target differs, so that no request is quarantined; each crashes one back end.
		relay.client(t).do("POST", fmt.Sprint("/path/", number), crashingBody)
	}
	seen := fmt.Sprintf("hazelpitch_relay_back_ends_ended_total{%s} %d\n", metricLabels, count-1)
	require.Eventually(t, func() bool { return strings.Contains(relay.scrape(t), seen) }, 10*time.Second, 10*time.Millisecond)
}
