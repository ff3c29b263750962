package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// RunScenario sends the requests of a scenario instead of the deployment's traffic and
// returns each request's result besides the report. It ignores Length and Scale of the
// options. It fails when the scenario names something that the deployment does not have.
func RunScenario(ctx context.Context, options Options, declared scenario.Scenario) (Report, []Result, error) {
	kinds, err := Kinds(options.Deployment)
	if err != nil {
		return Report{}, nil, trace.Wrap(err)
	}
	if err := checkDeployment(options, declared, kinds); err != nil {
		return Report{}, nil, trace.Wrap(err)
	}
	return run(ctx, options, planScenario(options, declared, kinds, time.Now()))
}

// checkDeployment checks that the deployment has the scenario's kinds, tenants and zones.
func checkDeployment(options Options, wanted scenario.Scenario, kinds map[string]Kind) error {
	for _, kind := range wanted.Kinds {
		declared, found := kinds[kind.Name]
		if !found {
			return trace.BadParameter("scenario %s: kind %q is not declared in %s", wanted.Name, kind.Name, options.Deployment)
		}
		if declared.Worth != kind.Worth || declared.Deadline != kind.Deadline {
			return trace.BadParameter("scenario %s: kind %q has worth %v and deadline %v, and %s declares %v and %v; make them equal",
				wanted.Name, kind.Name, kind.Worth, kind.Deadline, options.Deployment, declared.Worth, declared.Deadline)
		}
	}
	if wanted.Tenants.Count > len(options.Target.Keys) {
		return trace.BadParameter("scenario %s: %d tenants, and %s has keys of %d; lower tenants.count", wanted.Name, wanted.Tenants.Count, options.Deployment, len(options.Target.Keys))
	}
	for _, zone := range wanted.Zones {
		if !slices.Contains(options.Target.GatewayZones, zone.Name) {
			return trace.BadParameter("scenario %s: no gateway in zone %q of %s", wanted.Name, zone.Name, options.Deployment)
		}
	}
	return nil
}

// planScenario converts the scenario's arrivals into requests.
func planScenario(options Options, declared scenario.Scenario, kinds map[string]Kind, began time.Time) requestPlan {
	drawn := declared.Arrivals(options.Seed)
	texts := newPromptBuilder(runLabel(options.Seed, began))
	planned := requestPlan{kinds: kinds, arrivals: make([]arrival, len(drawn))}
	for index, next := range drawn {
		planned.arrivals[index] = arrival{at: next.At, kind: next.Kind, index: next.Number}
	}
	planned.make = func(asked arrival) request {
		return scenarioRequest(declared, drawn[asked.index], asked, texts)
	}
	return planned
}

func scenarioRequest(declared scenario.Scenario, drawn scenario.Arrival, planned arrival, texts *promptBuilder) request {
	kind := declared.Kinds[drawn.Kind]
	built := request{
		arrival: planned, kind: kind.Name, tenant: drawn.Tenant, zone: declared.Zones[drawn.Zone].Name, deadline: kind.Deadline,
	}
	dossier := fmt.Sprintf("%s-%d-%d", kind.Name, drawn.Tenant, drawn.Subject)
	built.setChat(declared.ModelName(kind), texts.text(dossier, drawn.SharedTokens, drawn.Number, drawn.PromptTokens), drawn.OutputTokens)
	return built
}
