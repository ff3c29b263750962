package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// begin picks engines for a request and sends it.
func (g *gateway) begin(asked *request) {
	w := g.world
	if asked.exchanges >= maximumExchanges {
		g.fail(asked, reasonNoBackEnd)
		return
	}
	choice, err := g.router.Pick(w.now, routing.Request{
		Service: asked.kind.Service, PromptTokens: asked.estimatedPrompt, OutputTokens: asked.estimatedOutput,
		PrefixBlocks: asked.routingBlocks, Deadline: asked.deadline, WholeOnly: w.options.WholeOnly,
	}, asked.excluded)
	if err != nil {
		g.fail(asked, pickReason(err))
		return
	}
	asked.exchanges++
	current := &flight{
		request: asked, gateway: g, choice: choice, id: fmt.Sprintf("%s.%d", asked.exchange, asked.exchanges),
		output: w.byName[choice.BackEnd.Name],
	}
	asked.present = current
	unread := max(asked.estimatedPrompt-choice.CachedTokens, 0)
	sent := routing.Dispatch{BackEnd: choice.BackEnd.Name, Exchange: current.id, PromptTokens: unread, PrefixBlocks: asked.routingBlocks, CachedAtHome: choice.CachedAtHome}
	if choice.Prefill == nil {
		g.router.Observe(w.now, sent)
		g.send(current, current.output, enginemodel.PhaseFull)
		return
	}
	current.prefill = w.byName[choice.Prefill.Name]
	sent.BackEnd = choice.Prefill.Name
	g.router.Observe(w.now, sent)
	g.router.Observe(w.now, routing.Dispatch{BackEnd: choice.BackEnd.Name, Exchange: current.id})
	g.send(current, current.prefill, enginemodel.PhasePrefillOnly)
}

// pickReason is routing's reason without the service's name.
func pickReason(err error) string {
	var known *routing.PickError
	if errors.As(err, &known) {
		return known.Reason.Error()
	}
	return err.Error()
}

// send hands a flight to an engine after the way there.
func (g *gateway) send(current *flight, to *engine, phase enginemodel.Phase) {
	way := g.world.latency(g.zone, to.declared.Zone)
	g.world.after(way, func() {
		if current.over {
			return
		}
		answer := to.submit(current, phase)
		if answer == submissionTaken {
			current.submitted = true
			return
		}
		g.world.after(way, func() { g.notTaken(current, to, answer) })
	})
}

// notTaken tries again elsewhere after an engine refused.
func (g *gateway) notTaken(current *flight, by *engine, answer submission) {
	if current.over {
		return
	}
	g.release(current)
	if answer == submissionUnreachable {
		g.router.Observe(g.world.now, routing.Failure{BackEnd: by.declared.Name, Exchange: current.id})
	} else {
		g.router.Observe(g.world.now, routing.AnswerHeaders{
			BackEnd: by.declared.Name, Incarnation: by.incarnation, State: by.state, Role: by.role,
		})
	}
	current.overload = current.overload || answer == submissionOverloaded
	current.excluded = append(current.excluded, by.declared.Name)
	g.begin(current.request)
}

// release ends a flight at the router and at its engines.
func (g *gateway) release(current *flight) {
	current.over = true
	engines := []*engine{current.output}
	if current.prefill != nil {
		engines = append(engines, current.prefill)
	}
	for _, each := range engines {
		each.cancel(current)
		g.router.Observe(g.world.now, routing.Completion{BackEnd: each.declared.Name, Exchange: current.id})
	}
}

// cut tells that an engine died under a flight: the request begins anew elsewhere.
func (g *gateway) cut(current *flight, at *engine) {
	if current.over {
		return
	}
	g.release(current)
	g.router.Observe(g.world.now, routing.Failure{BackEnd: at.declared.Name, Exchange: current.id})
	current.excluded = append(current.excluded, at.declared.Name)
	g.begin(current.request)
}

// prefillDone hands the KV cache to the engine that writes.
func (g *gateway) prefillDone(current *flight) {
	if current.over {
		return
	}
	g.router.Observe(g.world.now, routing.Completion{
		BackEnd: current.prefill.declared.Name, Exchange: current.id, PromptTokens: current.PromptTokens, CachedTokens: current.cached,
	})
	g.answered(current.prefill)
	g.send(current, current.output, enginemodel.PhaseDecodeImported)
}

func (g *gateway) firstToken(current *flight) {
	if current.over {
		return
	}
	if current.first == 0 {
		current.first = g.world.now
		g.tellFirstToken(current.request)
	}
	g.router.Observe(g.world.now, routing.FirstToken{BackEnd: current.output.declared.Name, Exchange: current.id})
	g.answered(current.output)
}

// tellFirstToken lets admission learn how long back ends take; retries say nothing of that.
func (g *gateway) tellFirstToken(asked *request) {
	if asked.exchanges != 1 {
		return
	}
	own := time.Duration(float64(asked.estimatedPrompt) / slowPromptTokensPerSecond * float64(time.Second))
	g.services[asked.kind.Service].RecordFirstToken(g.world.now, uint64(asked.Number), max(g.world.now-asked.began-own, 0))
}

// answered passes on what an answer's headers say of the engine.
func (g *gateway) answered(by *engine) {
	seen, found := by.reported()
	if !found || !by.up {
		return
	}
	load := seen.routingLoad()
	g.router.Observe(g.world.now, routing.AnswerHeaders{
		BackEnd: by.declared.Name, Incarnation: by.incarnation, State: by.state, Role: by.role,
		Load: &load, Age: g.world.now - seen.at,
	})
}

func (g *gateway) done(current *flight) {
	if current.over {
		return
	}
	current.over = true
	finished := routing.Completion{BackEnd: current.output.declared.Name, Exchange: current.id}
	if current.prefill == nil {
		finished.PromptTokens, finished.CachedTokens = current.PromptTokens, current.cached
	}
	g.router.Observe(g.world.now, finished)
	g.answered(current.output)
	asked := current.request
	asked.ended = true
	g.estimator.RecordUsage(g.shape(asked), admission.Estimate{PromptTokens: asked.PromptTokens, OutputTokens: asked.OutputTokens})
	g.record(asked, gatewaystate.Outcome{Completed: true})
	g.world.recorder.completed(asked, g.world.now)
	result := admission.Result{PromptTokens: asked.PromptTokens, OutputTokens: asked.OutputTokens, Overloaded: asked.overload}
	g.finish(asked, result)
}

// fail ends a request that no engine has taken to its end.
func (g *gateway) fail(asked *request, reason string) {
	asked.ended = true
	g.record(asked, gatewaystate.Outcome{Refused: true})
	if asked.present != nil && asked.present.submitted {
		g.world.recorder.lost(asked)
	} else {
		g.world.recorder.refused(asked, reason)
	}
	g.finish(asked, admission.Result{Failed: true, Overloaded: asked.overload})
}

// deadlinePassed gives up on a request that still runs at its deadline.
func (g *gateway) deadlinePassed(asked *request) {
	if asked.ended {
		return
	}
	asked.ended = true
	if asked.present != nil && !asked.present.over {
		g.release(asked.present)
	}
	g.record(asked, gatewaystate.Outcome{MissedDeadline: true})
	g.world.recorder.missed(asked)
	g.finish(asked, admission.Result{PromptTokens: asked.estimatedPrompt, Failed: true, DeadlineMissed: true, Overloaded: asked.overload})
}

func (g *gateway) finish(asked *request, result admission.Result) {
	service := g.services[asked.kind.Service]
	service.Finish(g.world.now, uint64(asked.Number), result)
	g.start(service)
}

// sortedFlights lists flights by the request's number.
func sortedFlights(flights map[string]*flight) []*flight {
	return slices.SortedFunc(maps.Values(flights), func(a, b *flight) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.id, b.id))
	})
}
