package load

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// Probe sends one request of each kind, one after the other, and returns how each
// ended, in the order of the traffic.
func Probe(options Options) ([]Result, error) {
	traffic, kinds, err := describe(options.Deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sender, builder := newClient(options.Target), newMaker(options, traffic, kinds, time.Now())
	var results []Result
	for number := range traffic.Requests {
		results = append(results, sender.send(builder.make(arrival{kind: number, number: number}), time.Now(), io.Discard))
	}
	return results, nil
}

// Show sends one chat request of the kind with the shortest prompts and writes its
// answer to out as it arrives.
func Show(options Options, out io.Writer) (Result, error) {
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
