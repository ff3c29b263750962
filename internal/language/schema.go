package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectSchema describes how one type of object is declared.
type objectSchema struct {
	objectType v1.ObjectType
	// keyword begins a declaration; tableName is its plural, for queries.
	keyword, tableName string
	// spec is the protobuf field of Object that holds the message of this type.
	spec    protoreflect.FieldDescriptor
	purpose string
	fields  []*fieldSchema
	// nameField is the protobuf field that repeats the object's name, or nil.
	nameField protoreflect.FieldDescriptor
}

// fieldSchema describes how one field is written and which values it accepts.
type fieldSchema struct {
	name string
	// protoName is the field of the protobuf message that stores the value; it defaults to name.
	// newSchema resolves it to proto.
	protoName protoreflect.Name
	proto     protoreflect.FieldDescriptor
	codec     codec
	// required fields must be given and must not be empty.
	required bool
	// defaultValue is the value of a field that is not given, in canonical spelling; empty for the
	// zero value.
	defaultValue string
	// minimum is the smallest number allowed.
	minimum uint64
	// referencedType is the type of the objects that the value names.
	referencedType v1.ObjectType
	purpose        string
}

// schemas lists the types of objects in the order in which they are written.
var schemas = buildSchemas()

// schemaForType returns the schema of a type, or nil.
func schemaForType(objectType v1.ObjectType) *objectSchema {
	for _, schema := range schemas {
		if schema.objectType == objectType {
			return schema
		}
	}
	return nil
}

// schemaByKeyword returns the schema whose declarations begin with the keyword, or nil.
func schemaByKeyword(word string) *objectSchema {
	for _, schema := range schemas {
		if schema.keyword == word {
			return schema
		}
	}
	return nil
}

func schemaKeywords() []string {
	words := make([]string, len(schemas))
	for i, schema := range schemas {
		words[i] = schema.keyword
	}
	return words
}

// field returns the field with this name, or nil.
func (s *objectSchema) field(word string) *fieldSchema {
	for _, field := range s.fields {
		if field.name == word {
			return field
		}
	}
	return nil
}

func (s *objectSchema) fieldNames() []string {
	words := make([]string, len(s.fields))
	for i, field := range s.fields {
		words[i] = field.name
	}
	return words
}

// message returns the message of the schema's type inside an object. A missing message is created if mutable is true;
// otherwise the result is empty and read-only.
func (s *objectSchema) message(object *v1.Object, mutable bool) protoreflect.Message {
	if mutable {
		return object.ProtoReflect().Mutable(s.spec).Message()
	}
	return object.ProtoReflect().Get(s.spec).Message()
}

// TypeName returns the language's name for a type of object; empty when unspecified.
func TypeName(objectType v1.ObjectType) string {
	if schema := schemaForType(objectType); schema != nil {
		return schema.keyword
	}
	return ""
}

// FormatKey writes a key as `kind matching`.
func FormatKey(key *v1.ObjectKey) string {
	return TypeName(key.GetType()) + " " + quoteName(key.GetName())
}
