package controlstate

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// objectTypes lists the types of declared objects in the order of their numbers.
var objectTypes = []v1.ObjectType{
	v1.ObjectType_OBJECT_TYPE_TENANT, v1.ObjectType_OBJECT_TYPE_KIND, v1.ObjectType_OBJECT_TYPE_MODEL,
	v1.ObjectType_OBJECT_TYPE_ADAPTER, v1.ObjectType_OBJECT_TYPE_SERVICE, v1.ObjectType_OBJECT_TYPE_BOUND,
	v1.ObjectType_OBJECT_TYPE_PIN, v1.ObjectType_OBJECT_TYPE_POLICY, v1.ObjectType_OBJECT_TYPE_OPERATOR,
}

// Object returns the declared object in force, or nil.
func (s *State) Object(objectType v1.ObjectType, name string) *v1.Object {
	return s.catalogue.get(Key{objectType, name})
}

// ObjectsOfType lists the declared objects in force of one type, sorted by name.
func (s *State) ObjectsOfType(objectType v1.ObjectType) []*v1.Object {
	return s.catalogue.ofType(objectType)
}

// Objects lists the declared objects in force, sorted by type and name.
func (s *State) Objects() []*v1.Object {
	var objects []*v1.Object
	for _, objectType := range objectTypes {
		objects = append(objects, s.catalogue.ofType(objectType)...)
	}
	return objects
}

// Changes lists the retained records of accepted revisions, oldest first.
func (s *State) Changes() []*v1.ChangeRecord { return s.changes.records.all() }

// ObjectHistory lists the retained versions of one object, oldest first, including
// tombstones.
func (s *State) ObjectHistory(key Key) []*v1.Object {
	var versions []*v1.Object
	for _, version := range s.history.all() {
		if KeyOf(version.Key) == key {
			versions = append(versions, version)
		}
	}
	if current := s.catalogue.objects[key]; current != nil && len(versions) == 0 {
		versions = append(versions, current)
	}
	return versions
}
