package controlstate

import (
	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// change holds the objects of a declaration that differ from the objects in force.
type change struct {
	base    *catalogue
	objects map[Key]*v1.Object // includes tombstones of deleted objects
	keys    []Key              // keys of objects, sorted before use
}

// add records a declared object if it differs from the one in force.
func (c *change) add(key Key, declared *v1.Object) {
	if declared.Deleted {
		c.remove(key)
		return
	}
	object := normalise(declared)
	current := c.base.get(key)
	if current != nil {
		if tenant := object.GetTenant(); tenant != nil {
			tenant.CacheSalt = current.GetTenant().GetCacheSalt()
		}
		if sameSpec(current, object) {
			return
		}
	}
	c.put(key, object)
}

// remove records a tombstone for an object in force.
func (c *change) remove(key Key) {
	if c.base.get(key) == nil {
		return
	}
	c.put(key, &v1.Object{Key: &v1.ObjectKey{Type: key.Type, Name: key.Name}, Deleted: true})
}

func (c *change) put(key Key, object *v1.Object) {
	c.objects[key] = object
	c.keys = append(c.keys, key)
}

// get returns the object that would be in force after the change, or nil.
func (c *change) get(key Key) *v1.Object {
	if object, changed := c.objects[key]; changed {
		if object.Deleted {
			return nil
		}
		return object
	}
	return c.base.get(key)
}

// has reports whether an object would be in force after the change.
func (c *change) has(objectType v1.ObjectType, name string) bool {
	return c.get(Key{objectType, name}) != nil
}

// ofType lists the objects of one type after the change, sorted by name.
func (c *change) ofType(objectType v1.ObjectType) []*v1.Object {
	merged := map[string]*v1.Object{}
	for name, object := range c.base.byType[objectType] {
		merged[name] = object
	}
	for key, object := range c.objects {
		if key.Type != objectType {
			continue
		}
		if object.Deleted {
			delete(merged, key.Name)
		} else {
			merged[key.Name] = object
		}
	}
	return sortedValues(merged)
}

// checkSeed returns an error when a new tenant needs a cache salt and the seed is too short.
func (c *change) checkSeed(seed []byte) error {
	if len(seed) >= MinimumSaltSeedBytes {
		return nil
	}
	for _, key := range c.keys {
		if tenant := c.objects[key].GetTenant(); tenant != nil && tenant.CacheSalt == "" {
			return trace.BadParameter("%s needs a cache salt, but the command has %d random bytes; at least %d",
				key, len(seed), MinimumSaltSeedBytes)
		}
	}
	return nil
}

// normalise returns a copy of a declared object with default values filled in and without
// the fields that are set on acceptance.
func normalise(declared *v1.Object) *v1.Object {
	object := proto.CloneOf(declared)
	object.Revision = 0
	object.AcceptedAtMs = 0
	if tenant := object.GetTenant(); tenant != nil {
		tenant.CacheSalt = ""
		tenant.Weight = max(tenant.Weight, 1)
	}
	if bound := object.GetBound(); bound != nil {
		bound.MaximumOut = max(bound.MaximumOut, 1)
	}
	return object
}

// sameSpec reports whether two objects of one key have equal specs.
func sameSpec(a, b *v1.Object) bool {
	left, right := specOf(a), specOf(b)
	return left != nil && right != nil && proto.Equal(left, right)
}

// specOf returns the message that declares the object, or nil.
func specOf(object *v1.Object) proto.Message {
	reflected := object.ProtoReflect()
	field := reflected.WhichOneof(reflected.Descriptor().Oneofs().ByName("spec"))
	if field == nil {
		return nil
	}
	return reflected.Get(field).Message().Interface()
}
