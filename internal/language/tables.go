package language

// tables lists what can be shown: one table for each type of declared object, and those of the running
// fleet.
var tables = append(buildObjectTables(), []*table{
	{name: "revisions", purpose: "Accepted revisions of the configuration; the last is in force.", rows: revisionRows, columns: revisionColumns()},
	{name: "revision", purpose: "The revision in force.", rows: lastRevisionRows, columns: revisionColumns()},
	{name: "engines", purpose: "Engines, what they do and what they hold.", rows: engineRows, columns: []column{
		textColumn("name", "Name in the machine list."),
		textColumn("service", "Service the engine belongs to."),
		textColumn("zone", "Zone of its machine."),
		textColumn("address", "IP:port of the engine."),
		textColumn("role", "Role it plays."),
		textColumn("pinned", "Role a pin holds it in."),
		textColumn("state", "Whether it gets new work."),
		textColumn("model", "Model it serves."),
		textColumn("version", "Version of the model."),
		textColumn("adapters", "Adapters it serves, with their versions as far as it told them."),
		textColumn("since", "Time it took its role."),
		textColumn("order", "Order it holds, as epoch/sequence and action."),
		numberColumn("running", "Requests in its batch, as last reported."),
		numberColumn("waiting", "Requests in its queue, as last reported."),
		quantityColumn("load_age", "Age of that report.", durationUnits),
	}},
	{name: "nodes", purpose: "Gateways and controllers, and the revision in force at each.", rows: nodeRows, columns: []column{
		textColumn("name", "Name in the settings file."),
		textColumn("program", "gateway or controller."),
		textColumn("zone", "Zone of its machine."),
		textColumn("address", "IP:port it listens on."),
		numberColumn("revision", "Revision in force at a gateway, and on disk at a controller, when last heard; empty when not known."),
		quantityColumn("silent", "Time since it was last heard.", durationUnits),
		textColumn("leaving", "true while it stops."),
	}},
	{name: "members", purpose: "Controllers of the quorum.", rows: memberRows, columns: []column{
		textColumn("id", "Identity of the disk."),
		textColumn("address", "IP:port of the controller."),
		textColumn("zone", "Zone of its machine."),
		textColumn("part", "leader, voter or learner."),
		numberColumn("synced", "Highest log entry known to be on its disk."),
		quantityColumn("silent", "Time since it was last heard.", durationUnits),
	}},
	{name: "orders", purpose: "Orders to engines, oldest first.", ofTypes: []string{engineKeyword}, rows: orderRows, columns: orderColumns()},
	{name: "claims", purpose: "Requests that run at most once, and how far they have come.", ofTypes: []string{"tenant", "kind"}, rows: claimRows, columns: []column{
		textColumn("tenant", "Tenant that asked."),
		textColumn("kind", "Kind of request."),
		textColumn("key", "Idempotency key."),
		textColumn("gateway", "Gateway that holds the claim."),
		textColumn("state", "granted, finished or unknown."),
		textColumn("expires", "Time the claim is forgotten."),
	}},
	{name: "suspects", purpose: "Requests under which replicas have ended, oldest first.", rows: suspectRows, columns: []column{
		textColumn("content", "The request's signature, as logs name it."),
		numberColumn("ended", "Replicas that have ended under it."),
		textColumn("held", "true while it is kept away from replicas."),
		numberColumn("trials", "How often it was tried again since."),
	}},
	{name: "audit", purpose: "What operators submitted, oldest first.", ofTypes: []string{"operator"}, rows: auditRows, columns: []column{
		numberColumn("sequence", "Place in the trail."),
		textColumn("at", "Time of the submission."),
		textColumn("operator", "Who submitted it."),
		textColumn("request", "Identity of the request; resends share it."),
		textColumn("text", "The command, or the source revision of a declaration."),
		textColumn("outcome", "What became of it."),
		numberColumn("revision", "Revision it made; 0 for none."),
		textColumn("source", "Revision in version control."),
	}},
	{name: "shares", purpose: "Parts of tenants' limits that gateways hold; known to the leader.", ofTypes: []string{"tenant"}, rows: shareRows, columns: []column{
		textColumn("tenant", "Tenant the limit is of."),
		textColumn("gateway", "Gateway that holds the part."),
		quantityColumn("tokens_per_second", "Part of the token limit.", rateUnits),
		quantityColumn("concurrency", "Part of the limit on requests in flight.", requestUnits),
	}},
	{name: "decisions", purpose: "The planner's last decision for each service; known to the leader.", rows: decisionRows, columns: []column{
		textColumn("service", "Service decided for."),
		textColumn("at", "Time of the decision."),
		numberColumn("changes", "Role changes it wanted."),
		textColumn("reason", "Why."),
	}},
}...)

func textColumn(word, purpose string) column { return column{name: word, purpose: purpose} }

func numberColumn(word, purpose string) column {
	return column{name: word, purpose: purpose, numeric: true}
}

func quantityColumn(word, purpose string, units []unit) column {
	return column{name: word, purpose: purpose, numeric: true, units: units}
}

func revisionColumns() []column {
	return []column{
		numberColumn("revision", "Number of the revision."),
		textColumn("at", "Time of acceptance."),
		textColumn("operator", "Who submitted it."),
		numberColumn("change_number", "Change number it won."),
		textColumn("source", "Revision in version control."),
		numberColumn("objects", "Objects it changed."),
	}
}

func orderColumns() []column {
	return []column{
		textColumn("engine", "Engine ordered."),
		textColumn("fence", "Authority epoch and sequence."),
		textColumn("action", "What was asked."),
		textColumn("issued", "Time the order was given."),
		textColumn("outcome", "outstanding, done, aborted, refused or engine_lost."),
		textColumn("finished", "Time it ended."),
		textColumn("reason", "Why it was given."),
		textColumn("detail", "Why it ended as it did."),
	}
}
