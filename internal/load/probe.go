package load

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	// probePatience is how long a probe resends what was refused as not run: gateways
	// may not know every back end yet.
	probePatience = 15 * time.Second
	probePause    = 200 * time.Millisecond
)

// Probe sends one request of each kind, one after the other, and returns how each
// ended, in the order of the traffic. What was refused as not run it sends again.
func Probe(options Options) ([]Result, error) {
	traffic, kinds, err := describe(options.Deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sender, builder := newClient(options.Target), newMaker(options, traffic, kinds, time.Now())
	var results []Result
	for number := range traffic.Requests {
		results = append(results, sender.sendUntilTaken(builder.make(arrival{kind: number, number: number})))
	}
	return results, nil
}

// StreamOne sends one chat request of the kind with the shortest prompts and writes its
// answer to out as it arrives.
func StreamOne(options Options, out io.Writer) (Result, error) {
	traffic, kinds, err := describe(options.Deployment)
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
		return Result{}, trace.BadParameter("%s has no chat kind", TrafficFile)
	}
	sender, builder := newClient(options.Target), newMaker(options, traffic, kinds, time.Now())
	result := sender.send(builder.make(arrival{kind: chosen, number: chosen}), time.Now(), out)
	fmt.Fprintln(out)
	return result, nil
}

// describe reads a deployment's traffic and the kinds it is made of.
func describe(deployment string) (Traffic, map[string]Kind, error) {
	traffic, err := LoadTraffic(deployment)
	if err != nil {
		return Traffic{}, nil, trace.Wrap(err)
	}
	kinds, err := Kinds(deployment)
	if err != nil {
		return Traffic{}, nil, trace.Wrap(err)
	}
	return traffic, kinds, trace.Wrap(declared(traffic, kinds))
}

// sendUntilTaken sends a request again while it is refused as not run.
func (c *client) sendUntilTaken(of request) Result {
	for began := time.Now(); ; time.Sleep(probePause) {
		result := c.send(of, time.Now(), io.Discard)
		refused := result.Outcome == Refused && result.Verdict == verdict.NotRun.String()
		if !refused || time.Since(began) > probePatience {
			return result
		}
	}
}
