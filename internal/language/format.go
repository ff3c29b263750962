package language

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Format writes objects as one declaration file in canonical spelling: by type and
// then by name, fields in the order of the reference page, standard values left
// out. ParseDeclarations of the text gives equal objects. Tombstones, revisions and
// a tenant's cache salt are not declared and are left out.
func Format(objects []*v1.Object) string {
	inOrder := append([]*v1.Object(nil), objects...)
	SortObjects(inOrder)
	var blocks []string
	for _, object := range inOrder {
		if object.GetDeleted() {
			continue
		}
		if schema := schemaOf(object.GetKey().GetType()); schema != nil {
			blocks = append(blocks, schema.format(object))
		}
	}
	return strings.Join(blocks, "\n")
}

// format writes one object as a block.
func (s *objectSchema) format(object *v1.Object) string {
	message := s.message(object, false)
	given := s.givenFields(message)
	width := 0
	for _, field := range given {
		width = max(width, len(field.word))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s {\n", s.word, quoteName(object.GetKey().GetName()))
	for _, field := range given {
		fmt.Fprintf(&text, "  %-*s = %s\n", width, field.word, field.format(message))
	}
	text.WriteString("}\n")
	return text.String()
}

// givenFields lists the fields that a canonical declaration names.
func (s *objectSchema) givenFields(message protoreflect.Message) []*fieldSchema {
	var given []*fieldSchema
	for _, field := range s.fields {
		if field.required || !field.isStandard(message) {
			given = append(given, field)
		}
	}
	return given
}
