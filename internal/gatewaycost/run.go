package gatewaycost

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/load"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// tokensBeforeCut is the number of tokens after which a connection is cut.
const tokensBeforeCut = 20

// Options configure a run.
type Options struct {
	// Fleet is running, and its declarations have been applied.
	Fleet *fleet.Fleet
	// Key is a tenant's API key, Source the callers' IP in the gateway's zone.
	Key     string
	Source  string
	Gateway *fleet.Process
	// Page is the IP:port of a page service in the gateway's zone.
	Page string
	// PageRequests is the number of page requests, sent in sequence, on each path: directly and through the gateway.
	PageRequests int
	// Streams is the number of concurrent streams, each of Tokens tokens.
	Streams int
	Tokens  int
}

// run is the state of one run.
type run struct {
	Options
	caller *caller
	path   string
	kind   string
	model  string
}

// Run measures the gateway's overhead and returns a report.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{Options: options, caller: newCaller(options.Key, options.Source)}
	if err := r.chooseKinds(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	var report Report
	for _, part := range []func(context.Context, *Report) error{r.measurePages, r.measureStreams, r.measureCuts} {
		if err := part(ctx, &report); err != nil {
			return Report{}, trace.Wrap(err)
		}
	}
	return report, nil
}

// chooseKinds selects the first page kind with GET and the chat kind with the longest
// deadline, so that no stream is refused.
func (r *run) chooseKinds() error {
	traffic, err := load.LoadTraffic(r.Fleet.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	kinds, err := load.Kinds(r.Fleet.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, request := range traffic.Requests {
		if request.Chat != nil && (r.kind == "" || kinds[request.Kind].Deadline > kinds[r.kind].Deadline) {
			r.kind, r.model = request.Kind, request.Chat.Model
		}
		if request.Page != nil && request.Page.Method == fasthttp.MethodGet && r.path == "" {
			r.path = request.Page.Path
		}
	}
	if r.kind == "" || r.path == "" {
		return trace.BadParameter("%s needs a chat kind and a page kind with GET", load.TrafficFile)
	}
	return nil
}

// measurePages sends page requests alternately directly and through the gateway.
func (r *run) measurePages(ctx context.Context, report *Report) error {
	direct, viaGateway := newHistogram(), newHistogram()
	if _, err := r.caller.sendPage(r.Gateway.Listen, r.path); err != nil { // not measured: the gateway does not know the tenant yet
		return trace.Wrap(err)
	}
	before, err := processorTime(r.Gateway)
	if err != nil {
		return trace.Wrap(err)
	}
	for range r.PageRequests {
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		for address, times := range map[string]*hdrhistogram.Histogram{r.Page: direct, r.Gateway.Listen: viaGateway} {
			took, err := r.caller.sendPage(address, r.path)
			if err != nil {
				return trace.Wrap(err)
			}
			_ = times.RecordValue(took.Microseconds()) // cannot fail: callTimeout bounds the value
		}
	}
	after, err := processorTime(r.Gateway)
	if err != nil {
		return trace.Wrap(err)
	}
	report.DirectPage, report.GatewayPage = percentiles(direct), percentiles(viaGateway)
	report.ProcessorPerPage = (after - before).Seconds() * microsPerSecond / float64(r.PageRequests)
	return nil
}

// measureStreams runs concurrent streams and divides the processor time by their tokens.
func (r *run) measureStreams(ctx context.Context, report *Report) error {
	before, err := processorTime(r.Gateway)
	if err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	streams, err := r.runStreams(ctx, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	after, err := processorTime(r.Gateway)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, each := range streams {
		report.Tokens += each.tokens
	}
	report.TokensPerSecond = float64(report.Tokens) / time.Since(began).Seconds()
	report.ProcessorPerToken = (after - before).Seconds() * microsPerSecond / float64(report.Tokens)
	report.Gap = gapPercentiles(streams)
	return nil
}

// measureCuts cuts each connection to an engine after tokensBeforeCut tokens, also the connections of resumed
// streams.
func (r *run) measureCuts(ctx context.Context, report *Report) error {
	for _, each := range r.Fleet.StandIns.Engines {
		each.Faults().Replace([]fault.Fault{{Kind: fault.Cut, Count: maxCuts(r.Streams, r.Tokens), Tokens: tokensBeforeCut}})
	}
	streams, err := r.runStreams(ctx, r.Streams)
	for _, each := range r.Fleet.StandIns.Engines {
		report.Cuts += maxCuts(r.Streams, r.Tokens) - remainingCount(each.Faults().Remaining())
		each.Faults().Replace(nil)
	}
	report.GapAfterCut = gapPercentiles(streams)
	return trace.Wrap(err)
}

// maxCuts returns the maximum number of cuts at one engine.
func maxCuts(streams, tokens int) int { return streams * (tokens/tokensBeforeCut + 1) }

func remainingCount(faults []fault.Fault) int {
	sum := 0
	for _, each := range faults {
		sum += each.Count
	}
	return sum
}

// runStreams sends concurrent chat requests and waits for their ends. Their prompts are numbered from first on, so that
// they differ from those of earlier calls.
func (r *run) runStreams(ctx context.Context, first int) ([]streamStats, error) {
	group, _ := errgroup.WithContext(ctx)
	var mutex sync.Mutex
	var all []streamStats
	for number := range r.Streams {
		group.Go(func() error {
			stats, err := r.caller.sendStream(r.Gateway.Listen, r.kind, chatBody(r.model, r.Tokens, first+number))
			if err == nil && stats.tokens != r.Tokens {
				err = trace.Errorf("a stream had %d tokens instead of %d", stats.tokens, r.Tokens)
			}
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, stats)
			return trace.Wrap(err)
		})
	}
	err := group.Wait()
	return all, trace.Wrap(err)
}

// processorMetric is the metric of the processor time that a process has used, in seconds.
const processorMetric = "process_cpu_seconds_total"

// processorTime returns how much processor time a process has used.
func processorTime(process *fleet.Process) (time.Duration, error) {
	_, body, err := checkedconn.Get("http://" + process.AdminListen + metrics.PathMetrics)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for line := range strings.Lines(string(body)) {
		text, found := strings.CutPrefix(line, processorMetric+" ")
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		return time.Duration(seconds * float64(time.Second)), trace.Wrap(err)
	}
	return 0, trace.NotFound("the metrics of %s do not contain %s", process.Name, processorMetric)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, callTimeout.Microseconds(), latencyDigits)
}

func gapPercentiles(streams []streamStats) Percentiles {
	times := newHistogram()
	for _, each := range streams {
		_ = times.RecordValue(each.longestGap.Microseconds()) // cannot fail: callTimeout bounds the value
	}
	return percentiles(times)
}
