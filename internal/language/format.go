package language

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Format writes objects as one declaration file in canonical spelling: sorted by type and then by name,
// fields in the order of the reference page, default values omitted. ParseDeclarations of the result
// returns equal objects. Tombstones, revisions and a tenant's cache salt cannot be declared and are
// omitted.
func Format(objects []*v1.Object) string {
	sorted := append([]*v1.Object(nil), objects...)
	SortObjects(sorted)
	var blocks []string
	for _, object := range sorted {
		if object.GetDeleted() {
			continue
		}
		if schema := schemaForType(object.GetKey().GetType()); schema != nil {
			blocks = append(blocks, schema.format(object))
		}
	}
	return strings.Join(blocks, "\n")
}

// format writes one object as a block.
func (s *objectSchema) format(object *v1.Object) string {
	message := s.message(object, false)
	given := s.canonicalFields(message)
	width := 0
	for _, field := range given {
		width = max(width, len(field.name))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s {\n", s.keyword, quoteName(object.GetKey().GetName()))
	for _, field := range given {
		fmt.Fprintf(&text, "  %-*s = %s\n", width, field.name, field.format(message))
	}
	text.WriteString("}\n")
	return text.String()
}

// canonicalFields lists the fields that a canonical declaration contains.
func (s *objectSchema) canonicalFields(message protoreflect.Message) []*fieldSchema {
	var given []*fieldSchema
	for _, field := range s.fields {
		if field.required || !field.isDefault(message) {
			given = append(given, field)
		}
	}
	return given
}
