package language

// tables lists what can be shown: one table for each type of declared object, and
// those of the running fleet.
var tables = append(objectTables(), []*table{
	{word: "revisions", purpose: "Accepted revisions of the configuration; the last is in force.", rows: revisionRows, columns: revisionColumns()},
	{word: "revision", purpose: "The revision in force.", rows: lastRevisionRows, columns: revisionColumns()},
	{word: "engines", purpose: "Engines, what they do and what they hold.", rows: engineRows, columns: []column{
		text("name", "Name in the machine list."),
		text("service", "Service the engine belongs to."),
		text("zone", "Zone of its machine."),
		text("address", "IP:port of the engine."),
		text("role", "Role it plays."),
		text("pinned", "Role a pin holds it in."),
		text("state", "Whether it gets new work."),
		text("model", "Model it serves."),
		text("version", "Version of the model."),
		text("adapters", "Adapters it serves, with their versions as far as it told them."),
		text("since", "Time it took its role."),
		text("order", "Order it holds, as epoch/sequence and action."),
		number("running", "Requests in its batch, as last reported."),
		number("waiting", "Requests in its queue, as last reported."),
		quantity("load_age", "Age of that report.", durationUnits),
	}},
	{word: "nodes", purpose: "Gateways and controllers, and the revision in force at each.", rows: nodeRows, columns: []column{
		text("name", "Name in the settings file."),
		text("program", "gateway or controller."),
		text("zone", "Zone of its machine."),
		text("address", "IP:port it listens on."),
		number("revision", "Revision in force at a gateway, and on disk at a controller, when last heard; empty when not known."),
		quantity("silent", "Time since it was last heard.", durationUnits),
		text("leaving", "true while it stops."),
	}},
	{word: "members", purpose: "Controllers of the quorum.", rows: memberRows, columns: []column{
		text("id", "Identity of the disk."),
		text("address", "IP:port of the controller."),
		text("zone", "Zone of its machine."),
		text("part", "leader, voter or learner."),
		number("synced", "Highest log entry known to be on its disk."),
		quantity("silent", "Time since it was last heard.", durationUnits),
	}},
	{word: "orders", purpose: "Orders to engines, oldest first.", ofTypes: []string{engineWord}, rows: orderRows, columns: orderColumns()},
	{word: "claims", purpose: "Requests that run at most once, and how far they have come.", ofTypes: []string{"tenant", "kind"}, rows: claimRows, columns: []column{
		text("tenant", "Tenant that asked."),
		text("kind", "Kind of request."),
		text("key", "Idempotency key."),
		text("gateway", "Gateway that holds the claim."),
		text("state", "granted, finished or unknown."),
		text("expires", "Time the claim is forgotten."),
	}},
	{word: "suspects", purpose: "Requests under which replicas have ended, oldest first.", rows: suspectRows, columns: []column{
		text("content", "The request's signature, as logs name it."),
		number("ended", "Replicas that have ended under it."),
		text("held", "true while it is kept away from replicas."),
		number("trials", "How often it was tried again since."),
	}},
	{word: "audit", purpose: "What operators submitted, oldest first.", ofTypes: []string{"operator"}, rows: auditRows, columns: []column{
		number("sequence", "Place in the trail."),
		text("at", "Time of the submission."),
		text("operator", "Who submitted it."),
		text("request", "Identity of the request; resends share it."),
		text("text", "The command, or the source revision of a declaration."),
		text("outcome", "What became of it."),
		number("revision", "Revision it made; 0 for none."),
		text("source", "Revision in version control."),
	}},
	{word: "shares", purpose: "Parts of tenants' limits that gateways hold; known to the leader.", ofTypes: []string{"tenant"}, rows: shareRows, columns: []column{
		text("tenant", "Tenant the limit is of."),
		text("gateway", "Gateway that holds the part."),
		quantity("tokens_per_second", "Part of the token limit.", rateUnits),
		quantity("concurrency", "Part of the limit on requests in flight.", requestUnits),
	}},
	{word: "decisions", purpose: "The planner's last decision for each service; known to the leader.", rows: decisionRows, columns: []column{
		text("service", "Service decided for."),
		text("at", "Time of the decision."),
		number("changes", "Role changes it wanted."),
		text("reason", "Why."),
	}},
}...)

func text(word, purpose string) column { return column{word: word, purpose: purpose} }

func number(word, purpose string) column {
	return column{word: word, purpose: purpose, numeric: true}
}

func quantity(word, purpose string, units []unit) column {
	return column{word: word, purpose: purpose, numeric: true, units: units}
}

func revisionColumns() []column {
	return []column{
		number("revision", "Number of the revision."),
		text("at", "Time of acceptance."),
		text("operator", "Who submitted it."),
		number("change_number", "Change number it won."),
		text("source", "Revision in version control."),
		number("objects", "Objects it changed."),
	}
}

func orderColumns() []column {
	return []column{
		text("engine", "Engine ordered."),
		text("fence", "Authority epoch and sequence."),
		text("action", "What was asked."),
		text("issued", "Time the order was given."),
		text("outcome", "outstanding, done, aborted, refused or engine_lost."),
		text("finished", "Time it ended."),
		text("reason", "Why it was given."),
		text("detail", "Why it ended as it did."),
	}
}
