package gatewaystate

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectKey identifies a declared object; it is the comparable form of v1.ObjectKey.
type objectKey struct {
	kind v1.ObjectType
	name string
}

// configuration holds declared objects by key, each with the revision that last
// changed it. No object ever goes back to an earlier revision.
type configuration struct {
	revision uint64
	objects  map[objectKey]*v1.Object
}

// apply takes the objects of an answer for a revision not below the one held. wanted
// tells which tenants to hold; others are met again by their keys. With full, what the
// answer does not name is gone.
func (c *configuration) apply(revision uint64, full bool, objects []*v1.Object, wanted func(*v1.Object) bool) {
	previous := c.objects
	if full {
		c.objects = make(map[objectKey]*v1.Object, len(objects))
	}
	for _, object := range objects {
		key := objectKey{kind: object.GetKey().GetType(), name: object.GetKey().GetName()}
		held, isHeld := previous[key]
		if isHeld && held.GetRevision() > object.GetRevision() {
			object = held
		}
		switch {
		case object.GetDeleted():
			delete(c.objects, key)
		case key.kind == v1.ObjectType_OBJECT_TYPE_TENANT && !isHeld && !wanted(object):
		default:
			c.objects[key] = object
		}
	}
	c.revision = revision
}
