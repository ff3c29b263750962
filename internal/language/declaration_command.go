package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// DeclarationCommand is a command that changes declared objects. It is carried out
// as a declaration of its Objects, whose tombstones delete.
type DeclarationCommand interface {
	Command
	Objects() []*v1.Object
}

// Objects is the pin.
func (c PinEngine) Objects() []*v1.Object {
	return []*v1.Object{{
		Key:  &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_PIN, Name: c.Engine},
		Spec: &v1.Object_Pin{Pin: &v1.Pin{Engine: c.Engine, Role: c.Role}},
	}}
}

// Objects is the tombstone of the pin.
func (c UnpinEngine) Objects() []*v1.Object {
	return tombstone(&v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_PIN, Name: c.Engine})
}

// Objects is the tombstone of the object.
func (c DeleteObject) Objects() []*v1.Object { return tombstone(c.Key) }

func tombstone(key *v1.ObjectKey) []*v1.Object {
	return []*v1.Object{{Key: key, Deleted: true}}
}
