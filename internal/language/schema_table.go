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

// buildSchemas returns the schemas of everything that can be declared. The parser, the formatter, the
// differences, the queries and the reference page all use them.
func buildSchemas() []*objectSchema {
	return append(servingSchemas(), governingSchemas()...)
}

// servingSchemas are the types that define who is served, and with what.
func servingSchemas() []*objectSchema {
	return []*objectSchema{
		newSchema(tenantType, "tenant", "tenants", "A customer of the fleet.", []*fieldSchema{
			{name: "api_key_hashes", codec: hashCodec, purpose: "Hashes of the API keys that authenticate the tenant; `hazelctl tenant-key` makes both."},
			{name: "weight", codec: integerCodec, defaultValue: "1", minimum: 1, purpose: "Share of the fleet under contention, relative to other tenants."},
			{name: "tokens_per_second", codec: rateCodec, purpose: "Limit on prompt plus output tokens over the whole fleet; 0 is no limit."},
			{name: "concurrency", codec: requestsCodec, purpose: "Limit on requests in flight over the whole fleet; 0 is no limit."},
			{name: "models", codec: nameCodec, referencedType: modelType, purpose: "Models the tenant may use; empty is every model."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_KIND, "kind", "kinds", "A kind of request.", []*fieldSchema{
			{name: "service", codec: nameCodec, required: true, referencedType: serviceType, purpose: "Service that answers the kind."},
			{name: "worth", codec: worthCodec, purpose: "Worth of one completed request, in the operators' own unit."},
			{name: "deadline", protoName: "deadline_ms", codec: durationCodec, required: true, purpose: "Time from arrival to the last byte, after which the answer has no worth."},
			{name: "repeatable", codec: booleanCodec{}, purpose: "May be run again after a failure; other kinds run at most once."},
			{name: "protected", codec: booleanCodec{}, purpose: "Is never cut by a planned change."},
			{name: "path", codec: pathCodec, purpose: "Path prefix of a page kind; chat kinds are named by the X-Request-Kind header."},
			{name: "expected_prompt_tokens", codec: tokensCodec, purpose: "Prompt of a usual request, until it has been measured."},
			{name: "expected_output_tokens", codec: tokensCodec, purpose: "Output of a usual request, until it has been measured."},
			{name: "priority", codec: integerCodec, purpose: "Scheduling priority at the engine; larger goes first."},
		}),
		newSchema(modelType, "model", "models", "A base model that engines can serve.", []*fieldSchema{
			{name: "version", codec: versionCodec, required: true, purpose: "Version in force."},
			{name: "weights", protoName: "weight_bytes", codec: sizeCodec, purpose: "Size of the weights, as the weight store reports it."},
			{name: "profile", codec: nameCodec, purpose: "Token-time profile of engines that serve the model."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_ADAPTER, "adapter", "adapters", "A fine-tuned delta over a model.", []*fieldSchema{
			{name: "model", codec: nameCodec, required: true, referencedType: modelType, purpose: "Model the adapter belongs to."},
			{name: "version", codec: versionCodec, required: true, purpose: "Version in force."},
			{name: "weights", protoName: "weight_bytes", codec: sizeCodec, purpose: "Size of the adapter's weights."},
			{name: "tenants", codec: nameCodec, referencedType: tenantType, purpose: "Tenants that may use the adapter; empty is all."},
		}),
		newSchema(serviceType, "service", "services", "A named group of back ends from the machine list.", []*fieldSchema{
			{name: "type", codec: serviceTypeCodec, required: true, purpose: "What answers behind the name."},
			{name: "model", codec: nameCodec, referencedType: modelType, purpose: "Model that an engine service serves."},
		}),
	}
}

// governingSchemas are the types that define how the fleet is operated, and by whom.
func governingSchemas() []*objectSchema {
	return []*objectSchema{
		newSchema(v1.ObjectType_OBJECT_TYPE_BOUND, "bound", "bounds", "A limit on the planner, for one service and role.", []*fieldSchema{
			{name: "service", codec: nameCodec, required: true, referencedType: serviceType, purpose: "Engine service the bound is for."},
			{name: "zone", codec: nameCodec, purpose: "Zone the bound is for; not given is the whole service."},
			{name: "role", codec: roleCodec, required: true, purpose: "Role whose engines are counted."},
			{name: "minimum", codec: enginesCodec, purpose: "Fewest engines in the role."},
			{name: "maximum", codec: enginesCodec, purpose: "Most engines in the role; 0 is no maximum."},
			{name: "maximum_out", codec: enginesCodec, defaultValue: "1 engines", minimum: 1, purpose: "Most engines out for a planned change at once."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_PIN, "pin", "pins", "Holds the engine of this name in one role.", []*fieldSchema{
			{name: "role", codec: roleCodec, required: true, purpose: "Role the engine keeps."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_POLICY, "policy", "policies", "How the planner trades goodput against role changes.", []*fieldSchema{
			{name: "service", codec: nameCodec, required: true, referencedType: serviceType, purpose: "Engine service the policy is for."},
			{name: "change_price", codec: worthCodec, purpose: "Worth that one role change must pay back on top of its own cost."},
			{name: "changes_per_hour", codec: changesCodec, purpose: "Most role changes within one hour; 0 is no limit."},
			{name: "minimum_dwell", protoName: "minimum_dwell_ms", codec: durationCodec, purpose: "Shortest time an engine keeps a role."},
			{name: "horizon", protoName: "horizon_ms", codec: durationCodec, purpose: "How far ahead a change must pay back."},
		}),
		newSchema(v1.ObjectType_OBJECT_TYPE_OPERATOR, "operator", "operators", "A person or pipeline that may use the operator service.", []*fieldSchema{
			{name: "key_hash", codec: hashCodec, required: true, purpose: "Hash of the operator's key; `hazelctl key new` makes both."},
			{name: "role", codec: operatorRoleCodec, required: true, purpose: "What the operator may do."},
		}),
	}
}
