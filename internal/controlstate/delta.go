package controlstate

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// MaximumTenantsInDelta bounds the tenants that a delta holds for a node that does
// not name those it holds; a larger change is answered with the full configuration.
const MaximumTenantsInDelta = 1024

// DeltaRequest is a node's question for what changed.
type DeltaRequest struct {
	// Revision in force at the node; 0 when it has none.
	Revision uint64
	// HeldTenants are the tenants the node holds.
	HeldTenants []string
	// UnknownKeyHashes are API keys the node has met and does not know.
	UnknownKeyHashes []string
}

// Delta is what a node needs to be at Revision. Its size is bounded by what the node
// holds and by the remembered tombstones, not by the number of tenants.
type Delta struct {
	Revision uint64
	// Full: Objects replace everything the node has.
	Full    bool
	Objects []*v1.Object
	// RejectedKeyHashes belong to no tenant at Revision.
	RejectedKeyHashes []string
}

// Delta answers a node. A node that is ahead of this state gets an answer at its own
// revision with nothing in it: a revision is never taken back.
func (s *State) Delta(request DeltaRequest) Delta {
	if request.Revision > s.revision {
		return Delta{Revision: request.Revision}
	}
	delta := Delta{Revision: s.revision}
	held := stringSet(request.HeldTenants)
	if request.Revision == 0 || request.Revision < s.catalogue.tombstoneFloor || !s.addChanges(&delta, request, held) {
		delta.Full = true
		delta.Objects = s.fullConfiguration(held)
	}
	s.addUnknownKeys(&delta, request.UnknownKeyHashes)
	return delta
}

// addChanges adds what changed after the request's revision. It reports false when
// that is too much, so that the full configuration is the shorter answer.
func (s *State) addChanges(delta *Delta, request DeltaRequest, held map[string]bool) bool {
	after := &v1.Object{Revision: request.Revision + 1, Key: &v1.ObjectKey{}}
	tenants := 0
	s.catalogue.byRevision.AscendGreaterOrEqual(after, func(object *v1.Object) bool {
		if !nodeNeeds(object.Key.Type) {
			return true
		}
		if object.Key.Type == v1.ObjectType_OBJECT_TYPE_TENANT {
			if len(held) > 0 && !held[object.Key.Name] {
				return true
			}
			tenants++
		}
		delta.Objects = append(delta.Objects, object)
		return len(held) > 0 || tenants <= MaximumTenantsInDelta
	})
	if len(held) == 0 && tenants > MaximumTenantsInDelta {
		delta.Objects = nil
		return false
	}
	return true
}

// fullConfiguration lists everything in force that a node needs.
func (s *State) fullConfiguration(held map[string]bool) []*v1.Object {
	var objects []*v1.Object
	for _, objectType := range objectTypes {
		if objectType == v1.ObjectType_OBJECT_TYPE_TENANT || !nodeNeeds(objectType) {
			continue
		}
		objects = append(objects, s.catalogue.ofType(objectType)...)
	}
	for _, name := range sortedKeys(held) {
		if tenant := s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, name); tenant != nil {
			objects = append(objects, tenant)
		}
	}
	return objects
}

// addUnknownKeys adds the tenants of unknown API keys, or says that there is none.
func (s *State) addUnknownKeys(delta *Delta, hashes []string) {
	added := map[string]bool{}
	for _, object := range delta.Objects {
		if object.Key.Type == v1.ObjectType_OBJECT_TYPE_TENANT {
			added[object.Key.Name] = true
		}
	}
	for _, hash := range hashes {
		name, known := s.catalogue.tenantOfKey[hash]
		if !known {
			delta.RejectedKeyHashes = append(delta.RejectedKeyHashes, hash)
			continue
		}
		if !added[name] {
			added[name] = true
			delta.Objects = append(delta.Objects, s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, name))
		}
	}
}

// nodeNeeds reports whether gateways use a type of object. Operators' keys and the
// planner's bounds, pins and policies stay with the controllers.
func nodeNeeds(objectType v1.ObjectType) bool {
	switch objectType {
	case v1.ObjectType_OBJECT_TYPE_OPERATOR, v1.ObjectType_OBJECT_TYPE_BOUND,
		v1.ObjectType_OBJECT_TYPE_PIN, v1.ObjectType_OBJECT_TYPE_POLICY:
		return false
	default:
		return true
	}
}

// TenantOfKey returns the tenant that an API key's hash belongs to, or nil.
func (s *State) TenantOfKey(hash string) *v1.Object {
	name, known := s.catalogue.tenantOfKey[hash]
	if !known {
		return nil
	}
	return s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, name)
}

func stringSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
