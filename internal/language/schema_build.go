package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// pinNameField is the protobuf field of a Pin that repeats the object's name.
const pinNameField = "engine"

// newSchema resolves a type's fields in its protobuf message. It panics during package initialization
// when a field is missing from the message, so that any test of the package fails.
func newSchema(objectType v1.ObjectType, word, table, purpose string, fields []*fieldSchema) *objectSchema {
	spec := (&v1.Object{}).ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(word))
	schema := &objectSchema{objectType: objectType, keyword: word, tableName: table, spec: spec, purpose: purpose, fields: fields}
	messageFields := spec.Message().Fields()
	for _, field := range fields {
		if field.protoName == "" {
			field.protoName = protoreflect.Name(field.name)
		}
		field.proto = messageFields.ByName(field.protoName)
		if field.proto == nil {
			panic("language: no protobuf field for " + word + "." + field.name)
		}
	}
	if objectType == v1.ObjectType_OBJECT_TYPE_PIN {
		schema.nameField = messageFields.ByName(pinNameField)
	}
	return schema
}
