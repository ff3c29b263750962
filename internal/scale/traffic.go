package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// Shape of the traffic: 1.4 million tokens a second over 3,000 requests a second are 467
// tokens for each, 14 s at 30 ms.
const (
	TargetRequestsPerSecond = 3000
	outputTokens            = 467
	promptTokens            = 2000
	tokenInterval           = 30 * time.Millisecond
	tenantSkew              = 1.1 // of the Zipf distribution of tenants
	promptText              = "the beginning of a prompt that a tenant sends again and again; "
	promptRepeats           = 16
)

// TrafficOptions are how many requests the nodes decide on.
type TrafficOptions struct {
	// RequestsPerSecond over all nodes.
	RequestsPerSecond float64
	// ClaimedShare of the requests are of kinds that run at most once.
	ClaimedShare float64
	// Duration of a request; 0 means that of the target.
	Duration time.Duration
	// Decided, when not nil, is told what was decided on each request: the engine it was
	// sent to, or the refusal.
	Decided func(node *Node, engine string, refusal error)
}

// Traffic counts what became of the requests.
type Traffic struct {
	Begun   atomic.Int64
	Refused atomic.Int64
	Ended   atomic.Int64
	Claimed atomic.Int64

	// Local, Zones and Regions count the requests answered by an engine in the node's
	// zone, its region, or another one; PairsLocal, PairsZones and PairsRegions the KV
	// caches handed over inside a zone, between zones of a region, and between regions.
	Local, Zones, Regions                atomic.Int64
	PairsLocal, PairsZones, PairsRegions atomic.Int64

	mutex    sync.Mutex
	refusals map[string]int64
}

// place counts where a request went.
func (t *Traffic) place(plan Plan, zone int, run *gateway.TrialRun) {
	answering := zoneNumber(run.Zone)
	plan.count(zone, answering, &t.Local, &t.Zones, &t.Regions)
	if run.PrefillZone != "" {
		plan.count(zoneNumber(run.PrefillZone), answering, &t.PairsLocal, &t.PairsZones, &t.PairsRegions)
	}
}

// count adds to the counter for the distance of two zones.
func (p Plan) count(one, other int, local, zones, regions *atomic.Int64) {
	switch {
	case one == other:
		local.Add(1)
	case p.Region(one) == p.Region(other):
		zones.Add(1)
	default:
		regions.Add(1)
	}
}

// Refusals counts the refusals by what they said up to the first colon.
func (t *Traffic) Refusals() map[string]int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[string]int64, len(t.refusals))
	for code, count := range t.refusals {
		counts[code] = count
	}
	return counts
}

func (t *Traffic) refuse(err error) {
	t.Refused.Add(1)
	code := refusalCode(err)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusals[code]++
}

// refusalCode is what a refusal says up to the first colon.
func refusalCode(err error) string {
	code, _, _ := strings.Cut(err.Error(), ":")
	return code
}

// StartTraffic lets every node make the decisions of requests until the context ends.
// The requests run at no engine.
func (f *Fleet) StartTraffic(ctx context.Context, options TrafficOptions) *Traffic {
	if options.Duration == 0 {
		options.Duration = outputTokens * tokenInterval
	}
	traffic := &Traffic{refusals: map[string]int64{}}
	if options.RequestsPerSecond <= 0 {
		return traffic
	}
	for number, node := range f.Nodes {
		source := rand.New(rand.NewPCG(f.Plan.Seed, uint64(number)))
		go f.drive(ctx, node, source, options, traffic)
	}
	return traffic
}

// drive begins one node's requests at random intervals.
func (f *Fleet) drive(ctx context.Context, node *Node, source *rand.Rand, options TrafficOptions, traffic *Traffic) {
	mean := float64(time.Second) * float64(len(f.Nodes)) / options.RequestsPerSecond
	tenants := rand.NewZipf(source, tenantSkew, 1, uint64(f.Plan.Tenants-1))
	for number := 0; pause.For(ctx, time.Duration(source.ExpFloat64()*mean)); number++ {
		control := node.Control()
		if control == nil {
			continue
		}
		trial := f.trial(int(tenants.Uint64()), source.IntN(f.Plan.Models))
		if source.Float64() < options.ClaimedShare {
			trial.Kind = onceName(number % f.Plan.Models)
			trial.IdempotencyKey = fmt.Sprintf("%s-%d-%d", node.Name, number, source.Uint64())
			traffic.Claimed.Add(1)
		}
		go f.runTrial(control, node, trial, options, traffic)
	}
}

func (f *Fleet) trial(tenant, model int) gateway.Trial {
	return gateway.Trial{
		KeyHash: TenantKeyHash(tenant), Kind: kindName(model),
		Prompt:       TenantName(tenant) + strings.Repeat(promptText, promptRepeats),
		PromptTokens: promptTokens, OutputTokens: outputTokens,
	}
}

func (f *Fleet) runTrial(control *gateway.Control, node *Node, trial gateway.Trial, options TrafficOptions, traffic *Traffic) {
	traffic.Begun.Add(1)
	run, err := control.BeginTrial(trial)
	if options.Decided != nil {
		engine := ""
		if err == nil {
			engine = run.BackEnd
		}
		options.Decided(node, engine, err)
	}
	if err != nil {
		traffic.refuse(err)
		return
	}
	traffic.place(f.Plan, node.Zone, run)
	time.AfterFunc(options.Duration, func() {
		run.End()
		traffic.Ended.Add(1)
	})
}
