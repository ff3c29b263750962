package controlstate

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// hiddenFields are never shown in differences: they are secrets.
var hiddenFields = map[protoreflect.Name]bool{"cache_salt": true}

// differences lists what a change does, by type and name, up to MaximumDifferences.
func (c *change) differences() []*v1.Difference {
	var differences []*v1.Difference
	for _, key := range c.keys {
		if len(differences) == MaximumDifferences {
			break
		}
		before, after := c.base.get(key), c.objects[key]
		difference := &v1.Difference{Key: after.Key, Type: v1.DifferenceType_DIFFERENCE_TYPE_CHANGE}
		switch {
		case after.Deleted:
			difference.Type = v1.DifferenceType_DIFFERENCE_TYPE_DELETE
		case before == nil:
			difference.Type = v1.DifferenceType_DIFFERENCE_TYPE_ADD
			difference.Fields = fieldDifferences(nil, after)
		default:
			difference.Fields = fieldDifferences(before, after)
		}
		differences = append(differences, difference)
	}
	return differences
}

// fieldDifferences lists the fields of the spec that differ, in the order of their
// declaration. Before may be nil.
func fieldDifferences(before, after *v1.Object) []*v1.FieldDifference {
	right := specOf(after).ProtoReflect()
	left := right.Type().Zero()
	if before != nil {
		left = specOf(before).ProtoReflect()
	}
	var differences []*v1.FieldDifference
	fields := right.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		old, current := fieldText(left, field), fieldText(right, field)
		if old == current || hiddenFields[field.Name()] {
			continue
		}
		differences = append(differences, &v1.FieldDifference{
			Field: string(field.Name()), Before: old, After: current,
		})
	}
	return differences
}

// fieldText shows one field; empty when it is not set.
func fieldText(message protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if !message.Has(field) {
		return ""
	}
	value := message.Get(field)
	if !field.IsList() {
		return valueText(value, field)
	}
	list := value.List()
	texts := make([]string, list.Len())
	for i := range texts {
		texts[i] = valueText(list.Get(i), field)
	}
	return strings.Join(texts, ", ")
}

// valueText shows one value; values of enumerations without their prefix, in lower case.
func valueText(value protoreflect.Value, field protoreflect.FieldDescriptor) string {
	if field.Kind() != protoreflect.EnumKind {
		return fmt.Sprint(value.Interface())
	}
	enum := field.Enum()
	descriptor := enum.Values().ByNumber(value.Enum())
	if descriptor == nil {
		return fmt.Sprint(value.Enum())
	}
	prefix := strings.TrimSuffix(string(enum.Values().Get(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(descriptor.Name()), prefix))
}
