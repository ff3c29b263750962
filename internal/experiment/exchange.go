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

// startAttempt selects engines for a request and sends it.
func (g *gateway) startAttempt(req *request) {
	w := g.world
	if req.attempts >= maxAttempts {
		g.failRequest(req, reasonNoBackEnd)
		return
	}
	choice, err := g.router.Pick(w.now, routing.Request{
		Service: req.kind.Service, PromptTokens: req.estimatedPrompt, OutputTokens: req.estimatedOutput,
		PrefixBlocks: req.routingBlocks, Deadline: req.deadline, WholeOnly: w.options.WholeOnly,
	}, req.excluded)
	if err != nil {
		g.failRequest(req, pickReason(err))
		return
	}
	req.attempts++
	current := &attempt{
		request: req, gateway: g, choice: choice, id: fmt.Sprintf("%s.%d", req.exchange, req.attempts),
		decodeEngine: w.byName[choice.BackEnd.Name],
	}
	req.current = current
	uncachedTokens := max(req.estimatedPrompt-choice.CachedTokens, 0)
	dispatch := routing.Dispatch{BackEnd: choice.BackEnd.Name, Exchange: current.id, PromptTokens: uncachedTokens, PrefixBlocks: req.routingBlocks, CachedAtHome: choice.CachedAtHome}
	if choice.Prefill == nil {
		g.router.Observe(w.now, dispatch)
		g.send(current, current.decodeEngine, enginemodel.PhaseFull)
		return
	}
	current.prefillEngine = w.byName[choice.Prefill.Name]
	dispatch.BackEnd = choice.Prefill.Name
	g.router.Observe(w.now, dispatch)
	g.router.Observe(w.now, routing.Dispatch{BackEnd: choice.BackEnd.Name, Exchange: current.id})
	g.send(current, current.prefillEngine, enginemodel.PhasePrefillOnly)
}

// pickReason returns the reason of an error of package routing without the name of the service.
func pickReason(err error) string {
	var known *routing.PickError
	if errors.As(err, &known) {
		return known.Reason.Error()
	}
	return err.Error()
}

// send submits an attempt to an engine after the network latency.
func (g *gateway) send(current *attempt, to *engine, phase enginemodel.Phase) {
	delay := g.world.latency(g.zone, to.declared.Zone)
	g.world.scheduleAfter(delay, func() {
		if current.over {
			return
		}
		answer := to.submit(current, phase)
		if answer == submissionAccepted {
			current.submitted = true
			return
		}
		g.world.scheduleAfter(delay, func() { g.retryElsewhere(current, to, answer) })
	})
}

// retryElsewhere starts another attempt after an engine refused one.
func (g *gateway) retryElsewhere(current *attempt, by *engine, answer submission) {
	if current.over {
		return
	}
	g.releaseAttempt(current)
	if answer == submissionUnreachable {
		g.router.Observe(g.world.now, routing.Failure{BackEnd: by.declared.Name, Exchange: current.id})
	} else {
		g.router.Observe(g.world.now, routing.AnswerHeaders{
			BackEnd: by.declared.Name, Incarnation: by.incarnation, State: by.state, Role: by.role,
		})
	}
	current.overloaded = current.overloaded || answer == submissionOverloaded
	current.excluded = append(current.excluded, by.declared.Name)
	g.startAttempt(current.request)
}

// releaseAttempt ends an attempt at the router and at its engines.
func (g *gateway) releaseAttempt(current *attempt) {
	current.over = true
	engines := []*engine{current.decodeEngine}
	if current.prefillEngine != nil {
		engines = append(engines, current.prefillEngine)
	}
	for _, each := range engines {
		each.cancel(current)
		g.router.Observe(g.world.now, routing.Completion{BackEnd: each.declared.Name, Exchange: current.id})
	}
}

// handleCrash starts another attempt after an engine crashed during one.
func (g *gateway) handleCrash(current *attempt, at *engine) {
	if current.over {
		return
	}
	g.releaseAttempt(current)
	g.router.Observe(g.world.now, routing.Failure{BackEnd: at.declared.Name, Exchange: current.id})
	current.excluded = append(current.excluded, at.declared.Name)
	g.startAttempt(current.request)
}

// prefillDone sends the request with its KV cache to the decode engine.
func (g *gateway) prefillDone(current *attempt) {
	if current.over {
		return
	}
	g.router.Observe(g.world.now, routing.Completion{
		BackEnd: current.prefillEngine.declared.Name, Exchange: current.id, PromptTokens: current.PromptTokens, CachedTokens: current.cachedTokens,
	})
	g.observeAnswer(current.prefillEngine)
	g.send(current, current.decodeEngine, enginemodel.PhaseDecodeImported)
}

func (g *gateway) firstToken(current *attempt) {
	if current.over {
		return
	}
	if current.firstTokenAt == 0 {
		current.firstTokenAt = g.world.now
		g.recordFirstToken(current.request)
	}
	g.router.Observe(g.world.now, routing.FirstToken{BackEnd: current.decodeEngine.declared.Name, Exchange: current.id})
	g.observeAnswer(current.decodeEngine)
}

// recordFirstToken reports to admission how much longer than its estimated prefill a request took
// to its first token. It skips retries, whose time includes failed attempts.
func (g *gateway) recordFirstToken(req *request) {
	if req.attempts != 1 {
		return
	}
	estimatedPrefill := time.Duration(float64(req.estimatedPrompt) / slowPromptTokensPerSecond * float64(time.Second))
	g.services[req.kind.Service].RecordFirstToken(g.world.now, uint64(req.Number), max(g.world.now-req.startedAt-estimatedPrefill, 0))
}

// observeAnswer passes the state and load in an answer's headers to the router.
func (g *gateway) observeAnswer(by *engine) {
	reading, found := by.visibleReading()
	if !found || !by.isUp {
		return
	}
	load := reading.routingLoad()
	g.router.Observe(g.world.now, routing.AnswerHeaders{
		BackEnd: by.declared.Name, Incarnation: by.incarnation, State: by.state, Role: by.role,
		Load: &load, Age: g.world.now - reading.at,
	})
}

func (g *gateway) finishAttempt(current *attempt) {
	if current.over {
		return
	}
	current.over = true
	finished := routing.Completion{BackEnd: current.decodeEngine.declared.Name, Exchange: current.id}
	if current.prefillEngine == nil {
		finished.PromptTokens, finished.CachedTokens = current.PromptTokens, current.cachedTokens
	}
	g.router.Observe(g.world.now, finished)
	g.observeAnswer(current.decodeEngine)
	req := current.request
	req.finished = true
	g.estimator.RecordUsage(g.requestShape(req), admission.Estimate{PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens})
	g.recordOutcome(req, gatewaystate.Outcome{Completed: true})
	g.world.recorder.recordCompletion(req, g.world.now)
	result := admission.Result{PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, Overloaded: req.overloaded}
	g.finishRequest(req, result)
}

// failRequest ends a request that no engine completed.
func (g *gateway) failRequest(req *request, reason string) {
	req.finished = true
	g.recordOutcome(req, gatewaystate.Outcome{Refused: true})
	if req.current != nil && req.current.submitted {
		g.world.recorder.recordCut(req)
	} else {
		g.world.recorder.recordRefusal(req, reason)
	}
	g.finishRequest(req, admission.Result{Failed: true, Overloaded: req.overloaded})
}

// deadlinePassed ends a request that is still running at its deadline.
func (g *gateway) deadlinePassed(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	if req.current != nil && !req.current.over {
		g.releaseAttempt(req.current)
	}
	g.recordOutcome(req, gatewaystate.Outcome{MissedDeadline: true})
	g.world.recorder.recordDeadlineMiss(req)
	g.finishRequest(req, admission.Result{PromptTokens: req.estimatedPrompt, Failed: true, DeadlineMissed: true, Overloaded: req.overloaded})
}

func (g *gateway) finishRequest(req *request, result admission.Result) {
	service := g.services[req.kind.Service]
	service.Finish(g.world.now, uint64(req.Number), result)
	g.startAdmitted(service)
}

// sortedAttempts returns attempts in order of the requests' numbers.
func sortedAttempts(attempts map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.id, b.id))
	})
}
