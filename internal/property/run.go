package property

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

const (
	controllerHost = "10.4.0.1"
	// settleTime is long enough for every outcome to be recorded and every abandoned exchange to end.
	settleTime = 45 * time.Second
	// quietTime is long enough for the last goroutines of the processes to end after everything is closed.
	quietTime = 5 * time.Minute
	// faultStream and countStream separate the random streams of faults and actors from those of the callers.
	faultStream = 1 << 32
	countStream = 1 << 33
)

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Requests is how many requests each caller sends.
	Requests int
	Counts   Counts
	// OnlyFault, when not empty, is the only fault that stand-ins show.
	OnlyFault fault.Kind
	// LikelyFault, when not empty, is the name of the fault that is drawn most often.
	LikelyFault string
	// DisabledSafeguards states which safeguards are disabled.
	DisabledSafeguards safeguard.Set
}

// DefaultCounts returns the default numbers of actors.
func DefaultCounts() Counts { return Counts{Callers: 8, Gateways: 3, Engines: 5, Pages: 2} }

// DrawCounts draws the numbers of actors from a seed.
func DrawCounts(seed uint64) Counts {
	random := rand.New(rand.NewPCG(seed, countStream))
	return Counts{
		Callers: 2 + random.IntN(11), Gateways: 1 + random.IntN(5),
		// At least three engines, so that each role is present.
		Engines: 3 + random.IntN(6), Pages: 1 + random.IntN(3),
	}
}

// Run does one run and returns its report. It is meant for a synctest bubble. An error means that the run could not be
// completed; violations are in the report.
func Run(options Options) (*Report, error) {
	w, err := newWorld(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	w.runUnderFaults()
	if err := w.backEnds.clear(); err != nil {
		return nil, trace.Wrap(err)
	}
	time.Sleep(settleTime)
	w.checkCaches()
	if err := w.gateways.close(); err != nil {
		w.report.Violations = append(w.report.Violations, Violation{CutByStop, err.Error()})
	}
	executions := w.backEnds.executions()
	w.report.Violations = append(w.report.Violations, w.ledger.check(executions)...)
	w.fillReport(executions)
	w.report.KVTransfers = w.backEnds.kvTransfers()
	w.backEnds.close()
	w.controllers.close()
	time.Sleep(quietTime)
	return w.report, nil
}

// world holds all parts of one run.
type world struct {
	options     Options
	network     *network
	backEnds    *backEnds
	controllers *controllers
	gateways    *gateways
	ledger      *ledger
	report      *Report
}

func newWorld(options Options) (*world, error) {
	memoryNet := newNetwork()
	started, rows, err := startBackEnds(memoryNet, options.Counts.Engines, options.Counts.Pages)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	addresses := []string{controllerHost + ":7000", controllerHost + ":7001"}
	quorum, err := startControllers(memoryNet, addresses, newConfiguration(rows), options.DisabledSafeguards)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &world{
		options: options, network: memoryNet, backEnds: started, controllers: quorum,
		gateways: startGateways(memoryNet, quorum, options.Counts.Gateways, options.DisabledSafeguards),
		ledger:   newLedger(),
		report:   &Report{Seed: options.Seed, Verdicts: map[string]int{}},
	}, nil
}

// runUnderFaults runs all callers while faults are injected.
func (w *world) runUnderFaults() {
	ctx, stop := context.WithCancel(context.Background())
	injected := &faults{
		random:  rand.New(rand.NewPCG(w.options.Seed, faultStream)),
		network: w.network, backEnds: w.backEnds, gateways: w.gateways, controllers: w.controllers, options: w.options,
	}
	var callers, others sync.WaitGroup
	others.Go(func() { w.report.Faults = injected.injectUntilDone(ctx) })
	for number := range w.options.Counts.Callers {
		callers.Go(func() { w.runCaller(number) })
	}
	callers.Wait()
	stop()
	others.Wait()
}

// runCaller sends the requests of one caller.
func (w *world) runCaller(number int) {
	sender := newCaller(w.network, w.gateways, w.options.Counts.Gateways, number, w.options.Seed, w.ledger)
	for sent := range w.options.Requests {
		sender.sendUntilComplete(drawRequest(sender.random, w.options.Seed, number*w.options.Requests+sent))
	}
}

// cachedPrompts is the number of prompts that the tenants send one after the other.
const cachedPrompts = 4

// checkCaches lets each tenant send the same prompts in turn, without faults: the second tenant must not be served from
// the cache entries of the first.
func (w *world) checkCaches() {
	sender := newCaller(w.network, w.gateways, w.options.Counts.Gateways, 0, w.options.Seed, newLedger())
	for number := range cachedPrompts {
		prompt := fmt.Sprintf("run %d prompt %d", w.options.Seed, number) + strings.Repeat(" of the same dossier", 200)
		for tenant := range tenantKeys {
			req := &request{kind: kindRepeatable, tenant: tenant}
			req.setChat(prompt, 1)
			answered := sender.send(w.gateways.address(0), req)
			w.report.Violations = append(w.report.Violations, checkAnswer(answered)...)
			if tenant > 0 && answered.cachedTokens > 0 {
				detail := fmt.Sprintf("%d tokens of prompt %d were cached for another tenant", answered.cachedTokens, number)
				w.report.Violations = append(w.report.Violations, Violation{SharedCache, detail})
			}
		}
	}
}

// fillReport sets the counts of the report.
func (w *world) fillReport(executions map[string]int) {
	w.report.Requests = len(w.ledger.attempts)
	for _, each := range w.ledger.requests() {
		w.report.Executions += executions[each.mark]
		for _, sent := range w.ledger.attempts[each] {
			w.report.Attempts++
			w.report.Verdicts[sent.verdict]++
			if sent.complete {
				w.report.CompleteAnswers++
			}
		}
	}
}
