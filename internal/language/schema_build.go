package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// pinNameField is the protobuf field of a Pin that repeats the object's name.
const pinNameField = "engine"

// newSchema binds a type's fields to the protobuf message that keeps them. It
// panics when the table and the message disagree, which the first test shows.
func newSchema(objectType v1.ObjectType, word, table, purpose string, fields []*fieldSchema) *objectSchema {
	spec := (&v1.Object{}).ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(word))
	schema := &objectSchema{objectType: objectType, word: word, table: table, spec: spec, purpose: purpose, fields: fields}
	messageFields := spec.Message().Fields()
	for _, field := range fields {
		if field.protoName == "" {
			field.protoName = protoreflect.Name(field.word)
		}
		field.proto = messageFields.ByName(field.protoName)
		if field.proto == nil {
			panic("language: no protobuf field for " + word + "." + field.word)
		}
	}
	if objectType == v1.ObjectType_OBJECT_TYPE_PIN {
		schema.nameField = messageFields.ByName(pinNameField)
	}
	return schema
}
