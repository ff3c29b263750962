package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// DiffObjects lists what applying after would change in before, sorted by type and then by name.
// Objects that only before contains are kept, unless prune deletes them. Fields that cannot be
// declared, such as a tenant's cache salt, are ignored.
func DiffObjects(before, after []*v1.Object, prune bool) []*v1.Difference {
	earlier := indexByKey(before)
	later := indexByKey(after)
	keys := make([]*v1.Object, 0, len(earlier)+len(later))
	for _, object := range later {
		keys = append(keys, object)
	}
	for key, object := range earlier {
		if _, named := later[key]; !named && prune {
			keys = append(keys, object)
		}
	}
	SortObjects(keys)
	var differences []*v1.Difference
	for _, object := range keys {
		key := FormatKey(object.GetKey())
		if difference := diffObject(earlier[key], later[key]); difference != nil {
			differences = append(differences, difference)
		}
	}
	return differences
}

func indexByKey(objects []*v1.Object) map[string]*v1.Object {
	result := make(map[string]*v1.Object, len(objects))
	for _, object := range objects {
		if !object.GetDeleted() && schemaForType(object.GetKey().GetType()) != nil {
			result[FormatKey(object.GetKey())] = object
		}
	}
	return result
}

// diffObject compares one object before and after a change; either may be nil. It returns nil when no
// declared field differs.
func diffObject(before, after *v1.Object) *v1.Difference {
	switch {
	case before == nil:
		return &v1.Difference{Type: v1.DifferenceType_DIFFERENCE_TYPE_ADD, Key: after.GetKey(), Fields: addedFields(after)}
	case after == nil:
		return &v1.Difference{Type: v1.DifferenceType_DIFFERENCE_TYPE_DELETE, Key: before.GetKey()}
	}
	schema := schemaForType(after.GetKey().GetType())
	earlier, later := schema.message(before, false), schema.message(after, false)
	var fields []*v1.FieldDifference
	for _, field := range schema.fields {
		from, to := field.format(earlier), field.format(later)
		if from != to {
			fields = append(fields, &v1.FieldDifference{Field: field.name, Before: from, After: to})
		}
	}
	if len(fields) == 0 {
		return nil
	}
	return &v1.Difference{Type: v1.DifferenceType_DIFFERENCE_TYPE_CHANGE, Key: after.GetKey(), Fields: fields}
}

func addedFields(object *v1.Object) []*v1.FieldDifference {
	schema := schemaForType(object.GetKey().GetType())
	message := schema.message(object, false)
	var fields []*v1.FieldDifference
	for _, field := range schema.canonicalFields(message) {
		fields = append(fields, &v1.FieldDifference{Field: field.name, After: field.format(message)})
	}
	return fields
}
