package controlstate

import (
	"cmp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Key identifies a declared object and can be used as a map key.
type Key struct {
	Type v1.ObjectType
	Name string
}

// KeyOf converts a declared object's key to a Key.
func KeyOf(key *v1.ObjectKey) Key { return Key{Type: key.GetType(), Name: key.GetName()} }

// Compare orders keys by type and then by name.
func (k Key) Compare(other Key) int {
	if order := cmp.Compare(k.Type, other.Type); order != 0 {
		return order
	}
	return cmp.Compare(k.Name, other.Name)
}

// String returns the type and the name, as in operators' commands.
func (k Key) String() string { return TypeName(k.Type) + " " + k.Name }

// TypeName returns the name of an object type in the operators' language.
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
