package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// crashReportTime is how long a crash takes at most from the broken connection to the leader: probe, check and report.
const crashReportTime = 2 * time.Second

// Guards against a gateway that takes the loss of its own path for crashes of back ends: it reported sound engines and page
// services as crashed, and the controllers quarantined a sound request at all gateways.
func TestAGatewayWithoutAPathToBackEndsReportsNoCrashes(t *testing.T) {
	for name, request := range map[string]cutRequest{
		"engines": {path: enginecontract.PathChat, kind: "once", body: unstreamedBody, want: answerText},
		"pages":   {path: "/registrations", body: "name=Ana", want: pageText},
	} {
		t.Run(name, func(t *testing.T) {
			block := make(chan struct{})
			unblock := sync.OnceFunc(func() { close(block) })
			site := startCutSite(t, 1, block)
			t.Cleanup(unblock) // before the back ends are closed, which wait for their answers
			const concurrent = backEndsPerService * quarantine.QuarantineThreshold
			var sending sync.WaitGroup
			for range concurrent {
				sending.Go(func() { site.send(t, site.cut, request) })
			}
			require.Eventually(t, func() bool { return site.running.Load() == concurrent }, eventually, often)
			site.path.set(pathResets)
			sending.Wait()
			time.Sleep(crashReportTime)
			require.Zero(t, site.controller.crashesRecorded(), "no back end has crashed")
			unblock()
			answer, isServed := site.send(t, site.others[0], request)
			require.True(t, isServed, "%d %s", answer.status, answer.errorCode)
			site.path.set(pathSound)
			require.Eventually(t, func() bool {
				answer, isServed = site.send(t, site.cut, request)
				require.NotEqual(t, codeRequestQuarantined, answer.errorCode)
				return isServed
			}, eventually, often)
			require.Equal(t, http.StatusOK, answer.status)
		})
	}
}
