package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/soak/check"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// formationTimeout bounds the wait until a site serves for the first time.
	formationTimeout = time.Minute
	// restartPause is the time between two rounds in which back ends that crashed under a request are restarted.
	restartPause = 1200 * time.Millisecond
	// operatorQuietPercent is the percentage of the quiet phase, from its start, in which the operator still submits
	// configurations. The operator submits configurations during the faults too, but the check of the services on which
	// requests ran skips relays that are not in contact with the controllers. Only in the quiet phase, which follows
	// the faults, are all relays in contact, whatever builds they run.
	operatorQuietPercent = 70
	// finalReads is how often the configuration is read at the end of the run until a controller returns it.
	finalReads = 200
)

// Run runs one seed and returns its report. It blocks until the run is over. An error means that the run could not
// be completed; broken rules are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	created, err := newSite(options)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	defer created.close()
	if err := created.start(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	if err := created.waitUntilReady(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	runContext, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	sending := &traffic{site: created, loadBalancer: &loadBalancer{site: created, missedProbes: map[string]int{}}}
	sending.start(runContext)
	go created.restartCrashed(runContext)
	injected := newFaults(created)
	injected.traffic, injected.loadBalancer = sending, sending.loadBalancer
	faultContext, cancelFaults := context.WithTimeout(ctx, options.FaultDuration)
	defer cancelFaults()
	operatorContext, cancelOperator := context.WithCancel(ctx)
	defer cancelOperator()
	var operating sync.WaitGroup
	operating.Go(func() { created.operate(operatorContext) })
	if options.ControllerCuts {
		operating.Go(func() { created.keepReading(operatorContext) })
	}
	injected.run(faultContext)
	injected.cutAlone(ctx)
	injected.cutControllersAlone(ctx)
	operatorQuiet := options.QuietDuration * operatorQuietPercent / 100
	sleep(ctx, operatorQuiet)
	cancelOperator()
	sleep(ctx, options.QuietDuration-operatorQuiet)
	operating.Wait()
	if options.FinalFault {
		if err := injected.endDay(ctx); err != nil {
			return Report{}, trace.Wrap(err)
		}
	}
	cancelRun()
	sending.running.Wait()
	if options.ManyChanges {
		injected.restartControllersAfterLoss(ctx)
	}
	created.readFinalConfiguration(ctx)
	recorded := created.recorder.History()
	if err := writeHistory(options, recorded); err != nil {
		return Report{}, trace.Wrap(err)
	}
	return reportOf(options, recorded, injected.kinds, findings(options, recorded)), trace.Wrap(ctx.Err())
}

// writeHistory writes the recorded history to history.json, beside the logs.
func writeHistory(options Options, recorded *history.History) error {
	content, err := json.Marshal(recorded)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(options.Directory, "history.json"), content, 0o600))
}

func findings(options Options, recorded *history.History) []check.Finding {
	if options.CheckTimeBounds {
		return check.All(recorded)
	}
	return check.Safety(recorded)
}

// waitUntilReady submits the first configuration and waits until all relays are ready.
func (s *site) waitUntilReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, formationTimeout)
	defer cancel()
	first := s.contents(standin.ServicePages)
	if s.operator.Put(limited, first.Change(firstNumber), standin.Configuration(firstNumber, first), 0).Status != http.StatusOK {
		return trace.ConnectionProblem(nil, "no controller accepted the first configuration within %s; see the logs in %s", formationTimeout, s.options.Directory)
	}
	for _, process := range s.controllers {
		if err := s.disableBootstrap(process); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, relay := range s.relays {
		for !standin.IsReady(limited, relay.ready) {
			if limited.Err() != nil {
				return trace.ConnectionProblem(nil, "relay %s was not ready within %s; see the logs in %s", relay.Name, formationTimeout, s.options.Directory)
			}
			sleep(limited, stopPoll)
		}
	}
	return nil
}

// restartCrashed restarts back ends that crashed under a request, until the context ends.
func (s *site) restartCrashed(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, restartPause)
		for _, replica := range slices.Concat(s.pages, s.engines, s.spares, s.others, s.few) {
			_ = replica.Start() // a no-op when it runs; when its address is still in use, the next round retries
		}
	}
}

// readFinalConfiguration reads the configuration until a controller returns it, at most finalReads times.
func (s *site) readFinalConfiguration(ctx context.Context) {
	for count := range finalReads {
		if s.operator.Read(ctx, count).Status == http.StatusOK || ctx.Err() != nil {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}
