package controlstate

import (
	"cmp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Key identifies a declared object; it is comparable.
type Key struct {
	Type v1.ObjectType
	Name string
}

// KeyOf returns the Key of a declared object's key.
func KeyOf(key *v1.ObjectKey) Key { return Key{Type: key.GetType(), Name: key.GetName()} }

// Compare orders keys by type and then by name.
func (k Key) Compare(other Key) int {
	if order := cmp.Compare(k.Type, other.Type); order != 0 {
		return order
	}
	return cmp.Compare(k.Name, other.Name)
}

// String returns "type name" as operators write it.
func (k Key) String() string { return TypeName(k.Type) + " " + k.Name }

// TypeName is the operators' name of an object type.
func TypeName(objectType v1.ObjectType) string {
	switch objectType {
	case v1.ObjectType_OBJECT_TYPE_TENANT:
		return "tenant"
	case v1.ObjectType_OBJECT_TYPE_KIND:
		return "kind"
	case v1.ObjectType_OBJECT_TYPE_MODEL:
		return "model"
	case v1.ObjectType_OBJECT_TYPE_ADAPTER:
		return "adapter"
	case v1.ObjectType_OBJECT_TYPE_SERVICE:
		return "service"
	case v1.ObjectType_OBJECT_TYPE_BOUND:
		return "bound"
	case v1.ObjectType_OBJECT_TYPE_PIN:
		return "pin"
	case v1.ObjectType_OBJECT_TYPE_POLICY:
		return "policy"
	case v1.ObjectType_OBJECT_TYPE_OPERATOR:
		return "operator"
	default:
		return "unknown"
	}
}
