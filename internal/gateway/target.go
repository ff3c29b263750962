package gateway

import (
	"net/http"

	"github.com/valyala/fasthttp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/limits"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// HeaderKind names the kind of a chat or completions request.
const HeaderKind = "X-Request-Kind"

// target is the kind, model and adapter that a chat request addresses, resolved against the applied configuration.
type target struct {
	kind *gatewaystate.Kind
	// name is the model name sent to the engine: the adapter or the base model.
	name    string
	adapter string
	version string
}

// resolveTarget finds the kind, model and adapter of a chat request. A model or adapter that the
// tenant may not use is refused as if it did not exist.
func resolveTarget(snapshot *gatewaystate.Snapshot, tenant *gatewaystate.Tenant, header *fasthttp.RequestHeader, request *chatRequest) (target, *refusal) {
	base, adapter, fault := resolveModel(snapshot, tenant, request.model)
	if fault != nil {
		return target{}, fault
	}
	kind, fault := resolveKind(snapshot, string(header.Peek(HeaderKind)), base)
	if fault != nil {
		return target{}, fault
	}
	if base != "" && kind.Model != base {
		return target{}, refuse(http.StatusBadRequest, typeInvalidRequest, codeModelNotFound,
			"the kind's service does not serve this model")
	}
	base = kind.Model
	if !tenant.MayUseModel(base) {
		return target{}, refuseModel()
	}
	resolved := target{kind: kind, name: base, adapter: adapter}
	if adapter != "" {
		resolved.name = adapter
	}
	if model, ok := snapshot.Model(base); ok {
		resolved.version = model.GetVersion()
	}
	return resolved, nil
}

// resolveModel returns the base model and the adapter that the caller's model name denotes. The adapter is empty for a
// base model; both are empty when the caller named none.
func resolveModel(snapshot *gatewaystate.Snapshot, tenant *gatewaystate.Tenant, name string) (base, adapter string, fault *refusal) {
	if name == "" {
		return "", "", nil
	}
	if _, ok := snapshot.Model(name); ok {
		return name, "", nil
	}
	declared, ok := snapshot.Adapter(name)
	if !ok || !gatewaystate.MayUseAdapter(declared, tenant.Name) {
		return "", "", refuseModel()
	}
	return declared.GetModel(), name, nil
}

// resolveKind returns the kind with the name that the caller gave. Without a name it returns the only kind for the model.
func resolveKind(snapshot *gatewaystate.Snapshot, name, model string) (*gatewaystate.Kind, *refusal) {
	if name == "" {
		kind, ok := snapshot.OnlyKindForModel(model)
		if !ok {
			return nil, refuse(http.StatusBadRequest, typeInvalidRequest, codeUnknownKind,
				"name the kind of the request in the "+HeaderKind+" header")
		}
		return kind, nil
	}
	kind, ok := snapshot.Kind(name)
	if !ok || kind.ServiceType != v1.ServiceType_SERVICE_TYPE_ENGINE {
		return nil, refuse(http.StatusBadRequest, typeInvalidRequest, codeUnknownKind,
			"the "+HeaderKind+" header names no kind of this path")
	}
	return kind, nil
}

func refuseModel() *refusal {
	return refuse(http.StatusNotFound, typeInvalidRequest, codeModelNotFound, "there is no such model")
}

// shape returns the properties of a request from which its tokens are estimated.
func (t *target) shape(tenant *gatewaystate.Tenant, request *chatRequest) admission.RequestShape {
	return admission.RequestShape{
		Tenant:              tenant.Name,
		Kind:                t.kind.Name,
		PromptBytes:         len(request.prompt),
		MaximumOutputTokens: request.maximumTokens,
		DeclaredTokens: admission.DeclaredTokens{
			PromptTokens: int(t.kind.Spec.GetExpectedPromptTokens()),
			OutputTokens: int(t.kind.Spec.GetExpectedOutputTokens()),
		},
	}
}

// routingRequest returns the input of the routing decision for a chat request.
func (t *target) routingRequest(tenant *gatewaystate.Tenant, request *chatRequest, estimate admission.Estimate) routing.Request {
	return routing.Request{
		Service:      t.kind.Spec.GetService(),
		Model:        t.kind.Model,
		Version:      t.version,
		Adapter:      t.adapter,
		PromptTokens: estimate.PromptTokens,
		OutputTokens: estimate.OutputTokens,
		Rank:         rankOfPriority(t.kind.Spec.GetPriority()),
		PrefixBlocks: routing.PrefixBlocks(tenant.Spec.GetCacheSalt(), request.prompt),
	}
}

// tenantLimit returns a tenant's fleet-wide limits.
func tenantLimit(tenant *gatewaystate.Tenant) limits.Limit {
	return limits.Limit{TokensPerSecond: tenant.Spec.GetTokensPerSecond(), Concurrency: tenant.Spec.GetConcurrency()}
}
