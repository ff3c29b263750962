package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/soak/check"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// formationLimit bounds the wait until a site serves for the first time.
	formationLimit = time.Minute
	// revivalPause is the time between two looks for back ends that have ended under a request; they
	// come back after it.
	revivalPause = 1200 * time.Millisecond
	// operatedCalm is the share of the calm, in percent, in which configurations still change: only then are all relays in
	// touch, whatever builds they are of.
	operatedCalm = 70
	// finalReads is how often the configuration is read at the end until a controller tells it.
	finalReads = 200
)

// Run runs one seed and reports what was seen. An error means that the run could not go on; broken rules
// are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	made, err := newSite(options)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	defer made.close()
	if err := made.start(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	if err := made.form(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	whole, endWhole := context.WithCancel(ctx)
	defer endWhole()
	sending := &traffic{site: made, entrance: &entrance{site: made, missed: map[string]int{}}}
	sending.start(whole)
	go made.revive(whole)
	striking := newFaults(made)
	disturbed, endDisturbed := context.WithTimeout(ctx, options.Length)
	defer endDisturbed()
	operating, endOperating := context.WithTimeout(ctx, options.Length+options.Calm*operatedCalm/100)
	defer endOperating()
	operated := make(chan struct{})
	go func() { defer close(operated); made.operate(operating) }()
	striking.run(disturbed)
	sleep(ctx, options.Calm)
	<-operated
	endWhole()
	sending.running.Wait()
	made.readAtTheEnd(ctx)
	seen := made.recorder.History()
	if err := writeHistory(options, seen); err != nil {
		return Report{}, trace.Wrap(err)
	}
	return reportOf(options, seen, striking.kinds, findings(options, seen)), trace.Wrap(ctx.Err())
}

// writeHistory leaves what was seen beside the logs.
func writeHistory(options Options, seen *history.History) error {
	content, err := json.Marshal(seen)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(options.Directory, "history.json"), content, 0o600))
}

func findings(options Options, seen *history.History) []check.Finding {
	if options.Timed {
		return check.All(seen)
	}
	return check.Safety(seen)
}

// form has the first configuration taken, and waits until all relays are ready.
func (s *site) form(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, formationLimit)
	defer cancel()
	first := history.Change{Number: firstNumber, Services: standin.ServicesByRoute(standin.ServicePages)}
	if s.operator.Put(limited, first, standin.Configuration(firstNumber, standin.ServicePages), 0).Status != http.StatusOK {
		return trace.ConnectionProblem(nil, "no controller took the first configuration within %s; see the logs in %s", formationLimit, s.options.Directory)
	}
	for _, process := range s.controllers {
		if err := startedBefore(process); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, relay := range s.relays {
		for !standin.IsReady(limited, relay.ready) {
			if limited.Err() != nil {
				return trace.ConnectionProblem(nil, "relay %s was not ready within %s; see the logs in %s", relay.Name, formationLimit, s.options.Directory)
			}
			sleep(limited, stopPoll)
		}
	}
	return nil
}

// revive starts back ends again that ended under a request.
func (s *site) revive(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, revivalPause)
		for _, replica := range append(append([]*standin.Replica(nil), s.pages...), s.engines...) {
			_ = replica.Start() // one that runs stays; an address that is still taken is tried again
		}
	}
}

// readAtTheEnd reads the configuration until a controller tells it.
func (s *site) readAtTheEnd(ctx context.Context) {
	for count := range finalReads {
		if s.operator.Read(ctx, count).Status == http.StatusOK || ctx.Err() != nil {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}
