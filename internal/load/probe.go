package load

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// probeRetryTimeout is how long a probe resends what was refused as not run, because
	// gateways may not know every back end yet.
	probeRetryTimeout = 15 * time.Second
	probeRetryPause   = 200 * time.Millisecond
)

// Probe sends one request of each kind in sequence and returns their results in the order of
// the traffic. It resends a request that was refused as not run.
func Probe(options Options) ([]Result, error) {
	traffic, kinds, err := loadDescription(options.Deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sender, builder := newClient(options.Target), newRequestBuilder(options, traffic, kinds, time.Now())
	var results []Result
	for number := range traffic.Requests {
		results = append(results, sender.sendUntilAccepted(builder.make(arrival{kind: number, index: number})))
	}
	return results, nil
}

// StreamOne sends one chat request, of the kind with the shortest prompts, and writes the
// answer to out as it arrives.
func StreamOne(options Options, out io.Writer) (Result, error) {
	traffic, kinds, err := loadDescription(options.Deployment)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	chosen := -1
	for number, request := range traffic.Requests {
		if request.Chat != nil && (chosen < 0 || request.Chat.PromptTokens.High < traffic.Requests[chosen].Chat.PromptTokens.High) {
			chosen = number
		}
	}
	if chosen < 0 {
		return Result{}, trace.BadParameter("%s has no kind of chat request", TrafficFile)
	}
	sender, builder := newClient(options.Target), newRequestBuilder(options, traffic, kinds, time.Now())
	result := sender.send(builder.make(arrival{kind: chosen, index: chosen}), time.Now(), out)
	fmt.Fprintln(out)
	return result, nil
}

// loadDescription reads a deployment's traffic and the kinds that it uses.
func loadDescription(deployment string) (Traffic, map[string]Kind, error) {
	traffic, err := LoadTraffic(deployment)
	if err != nil {
		return Traffic{}, nil, trace.Wrap(err)
	}
	kinds, err := Kinds(deployment)
	if err != nil {
		return Traffic{}, nil, trace.Wrap(err)
	}
	return traffic, kinds, trace.Wrap(checkDeclared(traffic, kinds))
}

// sendUntilAccepted resends a request while it is refused as not run, for probeRetryTimeout.
func (c *client) sendUntilAccepted(req request) Result {
	for began := time.Now(); ; time.Sleep(probeRetryPause) {
		result := c.send(req, time.Now(), io.Discard)
		refused := result.Outcome == Refused && result.Verdict == verdict.NotRun.String()
		if !refused || time.Since(began) > probeRetryTimeout {
			return result
		}
	}
}
