package language

import (
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

var historyColumns = []string{"revision", "at", "operator", "change_number", "source", "change"}

// evaluate lists an engine's orders, or the changes of a declared object. A deleted object keeps its
// history for as long as the state records it.
func (h History) evaluate(view View) (*result, error) {
	if h.Type == engineKeyword {
		if _, err := findEngine(view, h.Name); err != nil && len(view.Orders(h.Name)) == 0 {
			return nil, err
		}
		return &result{columns: tableByName("orders").columnNames(), rows: formatOrders(view.Orders(h.Name))}, nil
	}
	schema := schemaByKeyword(h.Type)
	changes := view.ObjectHistory(&v1.ObjectKey{Type: schema.objectType, Name: h.Name})
	if len(changes) == 0 {
		object, err := findObject(view, schema, h.Name)
		if err != nil {
			return nil, err
		}
		changes = []*v1.Object{object}
	}
	return &result{columns: historyColumns, rows: changeRows(view, changes)}, nil
}

func changeRows(view View, changes []*v1.Object) [][]Value {
	byNumber := map[uint64]RevisionView{}
	for _, revision := range view.Revisions() {
		byNumber[revision.Revision] = revision
	}
	var rows [][]Value
	var before *v1.Object
	for _, change := range changes {
		revision := byNumber[change.GetRevision()]
		rows = append(rows, []Value{
			countCell(change.GetRevision()),
			timeCell(change.GetAcceptedAtMs()),
			TextValue(revision.Operator),
			countCell(revision.ChangeNumber),
			TextValue(revision.SourceRevision),
			TextValue(describeChange(before, change)),
		})
		before = change
	}
	return rows
}

// describeChange describes what one change did to an object.
func describeChange(before, after *v1.Object) string {
	if after.GetDeleted() {
		return "deleted"
	}
	if before.GetDeleted() {
		before = nil
	}
	difference := diffObject(before, after)
	if difference == nil {
		return "unchanged"
	}
	parts := make([]string, len(difference.GetFields()))
	for i, field := range difference.GetFields() {
		parts[i] = FormatFieldDifference(field)
	}
	verb := "changed"
	if difference.GetType() == v1.DifferenceType_DIFFERENCE_TYPE_ADD {
		verb = "added"
	}
	return verb + ": " + strings.Join(parts, "; ")
}

// FormatFieldDifference writes one changed field as "weight = 2 → 3".
func FormatFieldDifference(field *v1.FieldDifference) string {
	if field.GetBefore() == "" {
		return field.GetField() + " = " + field.GetAfter()
	}
	return field.GetField() + " = " + field.GetBefore() + " → " + field.GetAfter()
}
