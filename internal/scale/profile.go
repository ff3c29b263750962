package scale

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/pprof/profile"
	"github.com/gravitational/trace"
)

// partRule names the part of processor time that stacks with a function belong to.
type partRule struct{ function, part string }

// controllerParts are tried in order: the first function found in a stack decides.
var controllerParts = []partRule{
	{"zonedelay.(*conn).receive", "sockets of delayed connections"},
	{"zonedelay.(*conn).send", "sockets of delayed connections"},
	{"control.(*Core).takeSync", "core: sync"},
	{"control.(*Core).takeReport", "core: report and shares"},
	{"control.(*Core).takeBeginClaim", "core: claims"},
	{"control.(*Core).takeFinishClaim", "core: claims"},
	{"control.(*Core).takeEngineState", "core: engine polls"},
	{"control.(*Core).pollEngines", "core: engine polls"},
	{"control.(*Core).takeMachineList", "core: machine list"},
	{"control.(*Core).listEngines", "core: machine list"},
	{"control.(*Core).plan", "core: planner"},
	{"control.(*Core).command", "core: orders"},
	{"control.(*Core).reconcileDeclared", "core: reconciling declarations"},
	{"control.(*Core).snapshotWhenDue", "core: snapshots"},
	{"control.(*Core).applyEntry", "core: applying the log"},
	{"control.(*Core)", "core: consensus and rest"},
	{"controller.(*machineReader)", "machine list"},
	{"controller.(*engines)", "engine polls"},
	{"fasthttp.", "engine polls"},
	{"controller.(*syncer)", "log on disk"},
	{"controller.(*sender)", "consensus calls"},
	{"controller.consensusService", "consensus calls"},
	{"http2", "consensus calls"},
	{"controller.(*loop)", "loop"},
	{"connectrpc.com/connect", "calls of nodes"},
	{"net/http.(*conn)", "calls of nodes"},
	{"net/http.(*connReader)", "calls of nodes"},
	{"promhttp", "scraping"},
	{"runtime/pprof", "scraping"},
	{"runtime.gcBgMarkWorker", "garbage collection"},
	{"runtime.bgsweep", "garbage collection"},
	{"runtime.schedule", "scheduling and network polling"},
	{"runtime.mcall", "scheduling and network polling"},
}

// gatewayParts are those of the process with the hollow gateways.
var gatewayParts = []partRule{
	{"scale.(*countedConn)", "sockets"},
	{"gateway.(*Control).BeginTrial", "request decisions"},
	{"gateway.(*TrialRun)", "request decisions"},
	{"gateway.(*claimer)", "claims"},
	{"gateway.(*Control).syncLoop", "sync"},
	{"gateway.applySync", "sync"},
	{"gateway.buildSync", "sync"},
	{"gateway.(*Control).reportLoop", "report and shares"},
	{"gateway.buildReport", "report and shares"},
	{"gateway.recordOutcome", "request decisions"},
	{"gateway.(*Control).admissionLoop", "admission tick"},
	{"gateway.(*view)", "view"},
	{"net/http.", "connections to controllers"},
	{"scale.", "bench"},
	{"runtime/pprof", "bench"},
	{"runtime.gcBgMarkWorker", "garbage collection"},
	{"runtime.bgsweep", "garbage collection"},
	{"runtime.schedule", "scheduling and network polling"},
	{"runtime.mcall", "scheduling and network polling"},
}

const otherPart = "other"

// profileParts sums a processor profile by part, as shares of one core.
func profileParts(reader io.Reader, rules []partRule, window time.Duration) (map[string]float64, error) {
	parsed, err := profile.Parse(reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	const processorValue = 1 // of the sample: count, nanoseconds
	parts := map[string]float64{}
	for _, sample := range parsed.Sample {
		parts[partOf(sample, rules)] += float64(sample.Value[processorValue]) / float64(window)
	}
	return parts, nil
}

func partOf(sample *profile.Sample, rules []partRule) string {
	for _, rule := range rules {
		for _, location := range sample.Location {
			for _, line := range location.Line {
				if line.Function != nil && strings.Contains(line.Function.Name, rule.function) {
					return rule.part
				}
			}
		}
	}
	return otherPart
}

// profileController reads a controller's processor profile over a window.
func (f *Fleet) profileController(ctx context.Context, controller int, window time.Duration) (map[string]float64, error) {
	seconds := max(int(window/time.Second), 1)
	url := "http://" + f.Plan.ControllerAdmin(controller) + "/debug/pprof/profile?seconds=" + strconv.Itoa(seconds)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return profileParts(response.Body, controllerParts, time.Duration(seconds)*time.Second)
}
