package language

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectSchema says how one type of object is declared.
type objectSchema struct {
	objectType v1.ObjectType
	// word begins a declaration; table is its plural, for queries.
	word, table string
	// spec is the protobuf field of Object that holds the type's message.
	spec    protoreflect.FieldDescriptor
	purpose string
	fields  []*fieldSchema
	// nameField is the protobuf field that repeats the object's name, or nil.
	nameField protoreflect.FieldDescriptor
}

// fieldSchema says how one field is written, and what it may hold.
type fieldSchema struct {
	word string
	// protoName is the field of the protobuf message that keeps the value; not
	// given it is the word. newSchema binds proto to it.
	protoName protoreflect.Name
	proto     protoreflect.FieldDescriptor
	shape     shape
	// required fields must be given and not be empty.
	required bool
	// standard is the value of a field that is not given, in canonical
	// spelling; empty for the zero value.
	standard string
	// least is the smallest number allowed.
	least uint64
	// refers is the type of object that the value names.
	refers  v1.ObjectType
	purpose string
}

// schemas lists the types of objects in the order they are written.
var schemas = buildSchemas()

// schemaOf returns the schema of a type, or nil.
func schemaOf(objectType v1.ObjectType) *objectSchema {
	for _, schema := range schemas {
		if schema.objectType == objectType {
			return schema
		}
	}
	return nil
}

// schemaByWord returns the schema that a word begins, or nil.
func schemaByWord(word string) *objectSchema {
	for _, schema := range schemas {
		if schema.word == word {
			return schema
		}
	}
	return nil
}

func schemaWords() []string {
	words := make([]string, len(schemas))
	for i, schema := range schemas {
		words[i] = schema.word
	}
	return words
}

// field returns the field with this word, or nil.
func (s *objectSchema) field(word string) *fieldSchema {
	for _, field := range s.fields {
		if field.word == word {
			return field
		}
	}
	return nil
}

func (s *objectSchema) fieldWords() []string {
	words := make([]string, len(s.fields))
	for i, field := range s.fields {
		words[i] = field.word
	}
	return words
}

// message returns the type's message inside an object; it is made when mutable.
func (s *objectSchema) message(object *v1.Object, mutable bool) protoreflect.Message {
	if mutable {
		return object.ProtoReflect().Mutable(s.spec).Message()
	}
	return object.ProtoReflect().Get(s.spec).Message()
}

// TypeName is the language's word for a type of object; empty when unspecified.
func TypeName(objectType v1.ObjectType) string {
	if schema := schemaOf(objectType); schema != nil {
		return schema.word
	}
	return ""
}

// FormatKey writes a key as `kind matching`.
func FormatKey(key *v1.ObjectKey) string {
	return TypeName(key.GetType()) + " " + quoteName(key.GetName())
}
