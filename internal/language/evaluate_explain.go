package language

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// explainColumns are the fact, its value, the time and revision since which it holds, and the reason.
var explainColumns = []string{"fact", "value", "since", "revision", "why"}

func (e Explain) evaluate(view View) (*result, error) {
	explanation := &explanation{view: view}
	if e.Type == engineKeyword {
		if err := explanation.addEngine(e.Name); err != nil {
			return nil, err
		}
		return &result{columns: explainColumns, rows: explanation.rows}, nil
	}
	schema := schemaByKeyword(e.Type)
	object, err := findObject(view, schema, e.Name)
	if err != nil {
		return nil, err
	}
	explanation.addObject(schema, object)
	switch schema.objectType {
	case v1.ObjectType_OBJECT_TYPE_TENANT:
		explanation.addShares(e.Name)
	case v1.ObjectType_OBJECT_TYPE_SERVICE:
		explanation.addService(e.Name)
	}
	return &result{columns: explainColumns, rows: explanation.rows}, nil
}

// findObject returns the declared object of this type and name.
func findObject(view View, schema *objectSchema, name string) (*v1.Object, error) {
	var known []string
	for _, object := range view.Objects() {
		if object.GetKey().GetType() != schema.objectType || object.GetDeleted() {
			continue
		}
		if object.GetKey().GetName() == name {
			return object, nil
		}
		known = append(known, object.GetKey().GetName())
	}
	return nil, notFoundError(schema.keyword, name, known)
}

// explanation collects the rows of the answer to one Explain query.
type explanation struct {
	view View
	rows [][]Value
}

func (e *explanation) addRow(fact, value string, sinceMs int64, revision uint64, why string) {
	revisionText := ""
	if revision != 0 {
		revisionText = fmt.Sprint(revision)
	}
	e.rows = append(e.rows, []Value{TextValue(fact), TextValue(value), timeCell(sinceMs), TextValue(revisionText), TextValue(why)})
}

// addObject explains each field by the oldest revision since which it has had its current value.
func (e *explanation) addObject(schema *objectSchema, object *v1.Object) {
	history := objectChanges(e.view, object)
	for _, field := range schema.fields {
		since := oldestUnchanged(schema, field, history)
		value := field.cell(schema.message(object, false)).Text
		e.addRow(field.name, value, since.GetAcceptedAtMs(), since.GetRevision(), e.describeFieldReason(schema, field, since))
	}
}

// describeFieldReason explains why a field has its value.
func (e *explanation) describeFieldReason(schema *objectSchema, field *fieldSchema, since *v1.Object) string {
	reason := e.describeRevision(since.GetRevision())
	if !field.required && field.isDefault(schema.message(since, false)) {
		return "standard value; " + reason
	}
	return reason
}

// describeRevision says who submitted a revision, and from which source revision.
func (e *explanation) describeRevision(number uint64) string {
	for _, revision := range e.view.Revisions() {
		if revision.Revision != number {
			continue
		}
		reason := fmt.Sprintf("declared by %s, change %d", revision.Operator, revision.ChangeNumber)
		if revision.SourceRevision != "" {
			reason += ", source " + revision.SourceRevision
		}
		return reason
	}
	return "declared in a revision that is no longer remembered"
}

// objectChanges lists the recorded changes of an object, the current one last.
func objectChanges(view View, object *v1.Object) []*v1.Object {
	history := view.ObjectHistory(object.GetKey())
	if len(history) == 0 {
		return []*v1.Object{object}
	}
	return history
}

// oldestUnchanged returns the oldest change since which the field has had its current value without
// interruption.
func oldestUnchanged(schema *objectSchema, field *fieldSchema, history []*v1.Object) *v1.Object {
	last := len(history) - 1
	value := field.format(schema.message(history[last], false))
	since := history[last]
	for i := last - 1; i >= 0; i-- {
		if history[i].GetDeleted() || field.format(schema.message(history[i], false)) != value {
			break
		}
		since = history[i]
	}
	return since
}

// addShares explains how a tenant's limits are currently divided between gateways.
func (e *explanation) addShares(tenant string) {
	for _, share := range e.view.Shares() {
		if share.Tenant == tenant {
			value := fmt.Sprintf("%d tokens/s, %d requests", share.TokensPerSecond, share.Concurrency)
			e.addRow("share of "+share.Gateway, value, 0, 0, "lent by the leader by demand")
		}
	}
}

// addService explains which objects constrain the roles of a service's engines, and the planner's last decision.
func (e *explanation) addService(name string) {
	for _, object := range e.view.Objects() {
		switch {
		case object.GetBound().GetService() == name, object.GetPolicy().GetService() == name:
			schema := schemaForType(object.GetKey().GetType())
			e.addRow(FormatKey(object.GetKey()), summarizeFields(schema, schema.message(object, false)), object.GetAcceptedAtMs(), object.GetRevision(), e.describeRevision(object.GetRevision()))
		}
	}
	e.addPlannerDecision(name)
}

// addPlannerDecision explains the planner's last decision for a service.
func (e *explanation) addPlannerDecision(service string) {
	for _, decision := range e.view.PlannerDecisions() {
		if decision.Service == service {
			e.addRow("planner", fmt.Sprintf("%d changes", decision.Changes), decision.AtMs, 0, decision.Reason)
		}
	}
}

// summarizeFields writes the declared fields of an object, except its service, in one line.
func summarizeFields(schema *objectSchema, message protoreflect.Message) string {
	var parts []string
	for _, field := range schema.canonicalFields(message) {
		if field.name != "service" {
			parts = append(parts, field.name+" "+field.format(message))
		}
	}
	return strings.Join(parts, ", ")
}
