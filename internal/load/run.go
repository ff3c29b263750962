// Package load sends a deployment's traffic through its gateways at times drawn in advance
// (open loop), checks each answer to its last byte, and reports goodput, latencies,
// refusals by verdict and role changes.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// maxInFlight limits the requests in flight; arrivals beyond it are counted as not sent.
const maxInFlight = 8192

// Options configure a run.
type Options struct {
	// Deployment is the directory with load.yaml and the declarations.
	Deployment string
	Target     Target
	// Engines and Pages are the IP:ports of the stand-ins whose execution counts are read.
	Engines []string
	Pages   []string
	Length  time.Duration
	// Scale multiplies every rate; 0 is 1.
	Scale float64
	// OnceScale further multiplies the rates of kinds that run at most once; 0 is 1.
	OnceScale float64
	Seed      uint64
	// ResendUntilSettled makes callers resend an at-most-once request, through the next gateway,
	// until they know its outcome.
	ResendUntilSettled bool
	// OnResult, when not nil, is called with each request's result, from one goroutine.
	OnResult func(Result)
	// OnProgress, when not nil, is called after each request's result, from one goroutine.
	OnProgress func(done, all int)
}

// requestPlan holds all requests of a run.
type requestPlan struct {
	arrivals []arrival
	kinds    map[string]Kind
	make     func(arrival) request
}

// Run sends the traffic, waits for every answer and returns the report.
func Run(ctx context.Context, options Options) (Report, error) {
	traffic, kinds, err := loadDescription(options.Deployment)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	if options.Scale == 0 {
		options.Scale = 1
	}
	planned := requestPlan{
		arrivals: drawArrivals(traffic.scaleAtMostOnce(options.OnceScale), options.Length, options.Scale, options.Seed),
		kinds:    kinds,
		make:     newRequestBuilder(options, traffic, kinds, time.Now()).make,
	}
	report, _, err := run(ctx, options, planned)
	return report, trace.Wrap(err)
}

// run sends the planned requests and compares the answers with what the stand-ins executed.
func run(ctx context.Context, options Options, planned requestPlan) (Report, []Result, error) {
	before, err := ReadExecutions(options.Engines, options.Pages)
	if err != nil {
		return Report{}, nil, trace.Wrap(err)
	}
	began := time.Now()
	results := sendAll(ctx, options, planned, began)
	length := time.Since(began)
	after, err := ReadExecutions(options.Engines, options.Pages)
	if err != nil {
		return Report{}, nil, trace.Wrap(err)
	}
	report := summarize(results, planned.kinds)
	report.Deployment, report.Direct, report.Seed = options.Deployment, options.Target.Direct(), options.Seed
	report.Seconds = length.Seconds()
	report.Engines = after.Engines.Minus(before.Engines)
	report.Audit = auditResults(results, after)
	return report, results, nil
}

// checkDeclared checks that each kind of the traffic is declared.
func checkDeclared(traffic Traffic, kinds map[string]Kind) error {
	for _, request := range traffic.Requests {
		if _, found := kinds[request.Kind]; !found {
			return trace.BadParameter("%s names kind %q, which is not declared", TrafficFile, request.Kind)
		}
	}
	return nil
}

// sendAll sends every request at its arrival time and collects the results.
func sendAll(ctx context.Context, options Options, planned requestPlan, began time.Time) []Result {
	sender := newClient(options.Target)
	collected := make(chan Result, maxInFlight)
	slots := make(chan struct{}, maxInFlight)
	var sending sync.WaitGroup
	go func() {
		defer func() {
			sending.Wait()
			close(collected)
		}()
		for _, next := range planned.arrivals {
			req := planned.make(next)
			due := began.Add(next.at)
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(due)):
			}
			select {
			case slots <- struct{}{}:
			default:
				collected <- Result{Kind: req.kind, Tenant: req.tenant, Due: req.arrival.at, Outcome: NotSent}
				continue
			}
			sending.Go(func() {
				defer func() { <-slots }()
				sender.sendWithResends(ctx, req, due, options.ResendUntilSettled, collected)
				if req.resend {
					sender.sendWithResends(ctx, req, time.Now(), options.ResendUntilSettled, collected)
				}
			})
		}
	}()
	var results []Result
	for result := range collected {
		results = append(results, result)
		if options.OnResult != nil {
			options.OnResult(result)
		}
		if options.OnProgress != nil {
			options.OnProgress(len(results), len(planned.arrivals))
		}
	}
	return results
}
