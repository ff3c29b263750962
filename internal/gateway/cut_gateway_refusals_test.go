package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Guards against requests that wait for their whole deadline at a gateway without a path to any back end, and against
// callers that return at the time they were told, after the path is back, and are refused again.
func TestAGatewayWithoutAPathToBackEndsRefusesAtOnce(t *testing.T) {
	for _, fault := range []pathFault{pathHangs, pathResets} {
		t.Run(fault.String(), func(t *testing.T) {
			site := startCutSite(t, 0, nil)
			site.path.set(fault)
			for range 2 { // while the loss of the path is found out, and once it is known
				answers := make([]callerAnswer, len(cutRequests))
				var sending sync.WaitGroup
				for index, request := range cutRequests {
					sending.Go(func() { answers[index], _ = site.send(t, site.cut, request) })
				}
				sending.Wait()
				for index, answer := range answers {
					require.Equal(t, http.StatusServiceUnavailable, answer.status, "%s: %s", cutRequests[index].name, answer.body)
					require.Equal(t, codeNoBackEnd, answer.errorCode, cutRequests[index].name)
					require.Equal(t, verdict.NotRun.String(), answer.errorVerdict, cutRequests[index].name)
					seconds, err := strconv.Atoi(answer.header.Get("Retry-After"))
					require.NoError(t, err)
					require.Positive(t, seconds)
				}
			}
			dials := site.path.dials.Load()
			const requests = 50
			for range requests {
				site.send(t, site.cut, cutRequests[0])
			}
			require.Less(t, site.path.dials.Load()-dials, int64(requests), "a request must not connect while the path is known to be lost")
			answer, _ := site.send(t, site.cut, cutRequests[0])
			seconds, err := strconv.Atoi(answer.header.Get("Retry-After"))
			require.NoError(t, err)
			site.path.set(pathSound)
			time.Sleep(time.Duration(seconds) * time.Second)
			for _, request := range cutRequests {
				answer, isServed := site.send(t, site.cut, request)
				require.True(t, isServed, "%s: %d %s", request.name, answer.status, answer.body)
			}
		})
	}
}

// Guards against a gateway without a path to back ends that uses up the permits of back ends which limit their load, although
// it can send them nothing: the other gateways would lack these permits.
func TestAGatewayWithoutAPathToBackEndsTakesNoPermits(t *testing.T) {
	site := startCutSite(t, 0, nil)
	site.isLimited.Store(true)
	for range backEndsPerService * len(cutRequests) {
		site.awaitServed(t, site.cut)
	}
	require.Positive(t, site.controller.permitRequests.Load())
	site.path.set(pathResets)
	for _, request := range cutRequests {
		site.send(t, site.cut, request) // finds out that the path is lost
	}
	before := site.controller.permitRequests.Load()
	for range 10 {
		for _, request := range cutRequests {
			answer, _ := site.send(t, site.cut, request)
			require.Equal(t, codeNoBackEnd, answer.errorCode, "%s: %s", request.name, answer.body)
		}
	}
	require.Equal(t, before, site.controller.permitRequests.Load())
	site.path.set(pathSound)
	site.awaitServed(t, site.cut)
}
