package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Types that fields of other types refer to.
const (
	tenantType  = v1.ObjectType_OBJECT_TYPE_TENANT
	modelType   = v1.ObjectType_OBJECT_TYPE_MODEL
	serviceType = v1.ObjectType_OBJECT_TYPE_SERVICE
)

// buildSchemas is the one table of what can be declared: parser, formatter,
// differences, queries and the reference page all read it.
func buildSchemas() []*objectSchema {
	return append(servingSchemas(), governingSchemas()...)
}

// servingSchemas are the types that say who is served, and with what.
func servingSchemas() []*objectSchema {
	return []*objectSchema{
		newSchema(tenantType, "tenant", "tenants", "A customer of the fleet.", []*fieldSchema{
			{word: "api_key_hashes", shape: hashShape, purpose: "Hashes of the API keys that authenticate the tenant; `hazelctl tenant-key` makes both."},
			{word: "weight", shape: integerShape, standard: "1", least: 1, purpose: "Share of the fleet under contention, relative to other tenants."},
			{word: "tokens_per_second", shape: rateShape, purpose: "Limit on prompt plus output tokens over the whole fleet; 0 is no limit."},
			{word: "concurrency", shape: requestsShape, purpose: "Limit on requests in flight over the whole fleet; 0 is no limit."},
			{word: "models", shape: nameShape, refers: modelType, purpose: "Models the tenant may use; empty is every model."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_KIND, "kind", "kinds", "A kind of request.", []*fieldSchema{
			{word: "service", shape: nameShape, required: true, refers: serviceType, purpose: "Service that answers the kind."},
			{word: "worth", shape: worthShape, purpose: "Worth of one completed request, in the operators' own unit."},
			{word: "deadline", protoName: "deadline_ms", shape: durationShape, required: true, purpose: "Time from arrival to the last byte, after which the answer has no worth."},
			{word: "repeatable", shape: booleanShape{}, purpose: "May be run again after a failure; other kinds run at most once."},
			{word: "protected", shape: booleanShape{}, purpose: "Is never cut by a planned change."},
			{word: "path", shape: pathShape, purpose: "Path prefix of a page kind; chat kinds are named by the X-Request-Kind header."},
			{word: "expected_prompt_tokens", shape: tokensShape, purpose: "Prompt of a usual request, until it has been measured."},
			{word: "expected_output_tokens", shape: tokensShape, purpose: "Output of a usual request, until it has been measured."},
			{word: "priority", shape: integerShape, purpose: "Scheduling priority at the engine; larger goes first."},
		}),
		newSchema(modelType, "model", "models", "A base model that engines can serve.", []*fieldSchema{
			{word: "version", shape: versionShape, required: true, purpose: "Version in force."},
			{word: "weights", protoName: "weight_bytes", shape: sizeShape, purpose: "Size of the weights, as the weight store reports it."},
			{word: "profile", shape: nameShape, purpose: "Token-time profile of engines that serve the model."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_ADAPTER, "adapter", "adapters", "A fine-tuned delta over a model.", []*fieldSchema{
			{word: "model", shape: nameShape, required: true, refers: modelType, purpose: "Model the adapter belongs to."},
			{word: "version", shape: versionShape, required: true, purpose: "Version in force."},
			{word: "weights", protoName: "weight_bytes", shape: sizeShape, purpose: "Size of the adapter's weights."},
			{word: "tenants", shape: nameShape, refers: tenantType, purpose: "Tenants that may use the adapter; empty is all."},
		}),
		newSchema(serviceType, "service", "services", "A named group of back ends from the machine list.", []*fieldSchema{
			{word: "type", shape: serviceTypeShape, required: true, purpose: "What answers behind the name."},
			{word: "model", shape: nameShape, refers: modelType, purpose: "Model that an engine service serves."},
		}),
	}
}

// governingSchemas are the types that say how the fleet is run, and by whom.
func governingSchemas() []*objectSchema {
	return []*objectSchema{
		newSchema(v1.ObjectType_OBJECT_TYPE_BOUND, "bound", "bounds", "A limit on the planner, for one service and role.", []*fieldSchema{
			{word: "service", shape: nameShape, required: true, refers: serviceType, purpose: "Engine service the bound is for."},
			{word: "zone", shape: nameShape, purpose: "Zone the bound is for; not given is the whole service."},
			{word: "role", shape: roleShape, required: true, purpose: "Role whose engines are counted."},
			{word: "minimum", shape: enginesShape, purpose: "Fewest engines in the role."},
			{word: "maximum", shape: enginesShape, purpose: "Most engines in the role; 0 is no maximum."},
			{word: "maximum_out", shape: enginesShape, standard: "1 engines", least: 1, purpose: "Most engines out for a planned change at once."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_PIN, "pin", "pins", "Holds the engine of this name in one role.", []*fieldSchema{
			{word: "role", shape: roleShape, required: true, purpose: "Role the engine keeps."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_POLICY, "policy", "policies", "How the planner trades goodput against role changes.", []*fieldSchema{
			{word: "service", shape: nameShape, required: true, refers: serviceType, purpose: "Engine service the policy is for."},
			{word: "change_price", shape: worthShape, purpose: "Worth that one role change must pay back on top of its own cost."},
			{word: "changes_per_hour", shape: changesShape, purpose: "Most role changes within one hour; 0 is no limit."},
			{word: "minimum_dwell", protoName: "minimum_dwell_ms", shape: durationShape, purpose: "Shortest time an engine keeps a role."},
			{word: "horizon", protoName: "horizon_ms", shape: durationShape, purpose: "How far ahead a change must pay back."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_OPERATOR, "operator", "operators", "A person or pipeline that may use the operator service.", []*fieldSchema{
			{word: "key_hash", shape: hashShape, required: true, purpose: "Hash of the operator's key; `hazelctl key new` makes both."},
			{word: "role", shape: operatorRoleShape, required: true, purpose: "What the operator may do."},
		}),
	}
}
