package gatewaystate

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectKey identifies a declared object; it is the comparable form of v1.ObjectKey.
type objectKey struct {
	objectType v1.ObjectType
	name       string
}

// configuration holds the declared objects by key, each with the revision that last
// changed it. No object ever returns to an earlier revision.
type configuration struct {
	revision uint64
	objects  map[objectKey]*v1.Object
}

// apply applies the objects of an answer whose revision is not below the current one. wanted
// reports which new tenants to store; other tenants are loaded when a request presents their key. With full,
// objects that the answer does not list are removed.
func (c *configuration) apply(revision uint64, full bool, objects []*v1.Object, wanted func(*v1.Object) bool) {
	previous := c.objects
	if full {
		c.objects = make(map[objectKey]*v1.Object, len(objects))
	}
	for _, object := range objects {
		key := objectKey{objectType: object.GetKey().GetType(), name: object.GetKey().GetName()}
		existing, exists := previous[key]
		if exists && existing.GetRevision() > object.GetRevision() {
			object = existing
		}
		switch {
		case object.GetDeleted():
			delete(c.objects, key)
		case key.objectType == v1.ObjectType_OBJECT_TYPE_TENANT && !exists && !wanted(object):
		default:
			c.objects[key] = object
		}
	}
	c.revision = revision
}
