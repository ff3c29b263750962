package language

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// explainColumns: what is in force, its value, since when, by which revision, why.
var explainColumns = []string{"fact", "value", "since", "revision", "why"}

func (e Explain) evaluate(view View) (*result, error) {
	explanation := &explanation{view: view}
	if e.Type == engineWord {
		if err := explanation.engine(e.Name); err != nil {
			return nil, err
		}
		return &result{columns: explainColumns, rows: explanation.rows}, nil
	}
	schema := schemaByWord(e.Type)
	object, err := findObject(view, schema, e.Name)
	if err != nil {
		return nil, err
	}
	explanation.object(schema, object)
	switch schema.objectType {
	case v1.ObjectType_OBJECT_TYPE_TENANT:
		explanation.shares(e.Name)
	case v1.ObjectType_OBJECT_TYPE_SERVICE:
		explanation.service(e.Name)
	}
	return &result{columns: explainColumns, rows: explanation.rows}, nil
}

// findObject finds a declared object in force.
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
	return nil, notFound(schema.word, name, known)
}

// explanation gathers the rows of one Explain.
type explanation struct {
	view View
	rows [][]Value
}

func (e *explanation) add(fact, value string, sinceMs int64, revision uint64, why string) {
	revisionText := ""
	if revision != 0 {
		revisionText = fmt.Sprint(revision)
	}
	e.rows = append(e.rows, []Value{TextValue(fact), TextValue(value), timeCell(sinceMs), TextValue(revisionText), TextValue(why)})
}

// object explains each field by the oldest change since which it has its value.
func (e *explanation) object(schema *objectSchema, object *v1.Object) {
	history := changesOf(e.view, object)
	for _, field := range schema.fields {
		since := sinceWhen(schema, field, history)
		value := field.cell(schema.message(object, false)).Text
		e.add(field.word, value, since.GetAcceptedAtMs(), since.GetRevision(), e.fieldReason(schema, field, since))
	}
}

// fieldReason says why a field has its value.
func (e *explanation) fieldReason(schema *objectSchema, field *fieldSchema, since *v1.Object) string {
	reason := e.revisionReason(since.GetRevision())
	if !field.required && field.isStandard(schema.message(since, false)) {
		return "standard value; " + reason
	}
	return reason
}

// revisionReason says who made a revision, and from where.
func (e *explanation) revisionReason(number uint64) string {
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

// changesOf lists the remembered changes of an object, the one in force last.
func changesOf(view View, object *v1.Object) []*v1.Object {
	history := view.ObjectHistory(object.GetKey())
	if len(history) == 0 {
		return []*v1.Object{object}
	}
	return history
}

// sinceWhen is the oldest change of the run, up to the last one, in which the field
// has the value it has now.
func sinceWhen(schema *objectSchema, field *fieldSchema, history []*v1.Object) *v1.Object {
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

// shares tells how a tenant's limits are divided now.
func (e *explanation) shares(tenant string) {
	for _, share := range e.view.Shares() {
		if share.Tenant == tenant {
			value := fmt.Sprintf("%d tokens/s, %d requests", share.TokensPerSecond, share.Concurrency)
			e.add("share of "+share.Gateway, value, 0, 0, "lent by the leader by demand")
		}
	}
}

// service tells what governs the roles of a service's engines.
func (e *explanation) service(name string) {
	for _, object := range e.view.Objects() {
		switch {
		case object.GetBound().GetService() == name, object.GetPolicy().GetService() == name:
			schema := schemaOf(object.GetKey().GetType())
			e.add(FormatKey(object.GetKey()), summary(schema, schema.message(object, false)), object.GetAcceptedAtMs(), object.GetRevision(), e.revisionReason(object.GetRevision()))
		}
	}
	e.planner(name)
}

// planner tells the planner's last decision for a service.
func (e *explanation) planner(service string) {
	for _, decision := range e.view.PlannerDecisions() {
		if decision.Service == service {
			e.add("planner", fmt.Sprintf("%d changes", decision.Changes), decision.AtMs, 0, decision.Reason)
		}
	}
}

// summary writes the given fields of an object in one line.
func summary(schema *objectSchema, message protoreflect.Message) string {
	var parts []string
	for _, field := range schema.givenFields(message) {
		if field.word != "service" {
			parts = append(parts, field.word+" "+field.format(message))
		}
	}
	return strings.Join(parts, ", ")
}
