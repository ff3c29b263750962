package controlstate

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// MaximumTenantsInDelta limits the tenants in a delta for a node that does not name the
// tenants it holds; a node that would need more gets the full configuration.
const MaximumTenantsInDelta = 1024

// DeltaRequest is a node's request for the changes since its revision.
type DeltaRequest struct {
	// Revision is the revision in force at the node; 0 when it has none.
	Revision uint64
	// HeldTenants are the names of the tenants that the node holds, which are the only ones that it gets; a node that
	// names none gets all changed tenants.
	HeldTenants []string
	// UnknownKeyHashes are hashes of API keys that the node has received and does not know.
	UnknownKeyHashes []string
}

// Delta is what a node needs to reach Revision. Its size is limited by what the node holds
// and by the retained tombstones; it does not grow with the number of tenants.
type Delta struct {
	Revision uint64
	// Full means that Objects replace everything the node has.
	Full    bool
	Objects []*v1.Object
	// RejectedKeyHashes are the unknown key hashes of the request that belong to no tenant at Revision.
	RejectedKeyHashes []string
}

// Delta returns the changes for a node. A node ahead of this state gets an empty delta at its own
// revision: a node never returns to an earlier revision.
func (s *State) Delta(request DeltaRequest) Delta {
	if request.Revision > s.revision {
		return Delta{Revision: request.Revision}
	}
	delta := Delta{Revision: s.revision}
	heldTenants := stringSet(request.HeldTenants)
	if request.Revision == 0 || request.Revision < s.catalogue.tombstoneFloor || !s.addChanges(&delta, request, heldTenants) {
		delta.Full = true
		delta.Objects = s.fullConfiguration(heldTenants)
	}
	s.addUnknownKeys(&delta, request.UnknownKeyHashes)
	return delta
}

// addChanges adds the changes after the request's revision. It returns false when there are so many
// that the full configuration is shorter.
func (s *State) addChanges(delta *Delta, request DeltaRequest, heldTenants map[string]bool) bool {
	after := &v1.Object{Revision: request.Revision + 1, Key: &v1.ObjectKey{}}
	tenants := 0
	s.catalogue.byRevision.AscendGreaterOrEqual(after, func(object *v1.Object) bool {
		if !nodeNeeds(object.Key.Type) {
			return true
		}
		if object.Key.Type == v1.ObjectType_OBJECT_TYPE_TENANT {
			if len(heldTenants) > 0 && !heldTenants[object.Key.Name] {
				return true
			}
			tenants++
		}
		delta.Objects = append(delta.Objects, object)
		return len(heldTenants) > 0 || tenants <= MaximumTenantsInDelta
	})
	if len(heldTenants) == 0 && tenants > MaximumTenantsInDelta {
		delta.Objects = nil
		return false
	}
	return true
}

// fullConfiguration lists all objects in force that a node needs.
func (s *State) fullConfiguration(heldTenants map[string]bool) []*v1.Object {
	var objects []*v1.Object
	for _, objectType := range objectTypes {
		if objectType == v1.ObjectType_OBJECT_TYPE_TENANT || !nodeNeeds(objectType) {
			continue
		}
		objects = append(objects, s.catalogue.ofType(objectType)...)
	}
	for _, name := range sortedKeys(heldTenants) {
		if tenant := s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, name); tenant != nil {
			objects = append(objects, tenant)
		}
	}
	return objects
}

// addUnknownKeys adds the tenants of unknown API keys, and rejects the keys that belong to no tenant.
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

// nodeNeeds reports whether gateways use objects of a type. Operators' keys and the planner's
// bounds, pins and policies are used by controllers only.
func nodeNeeds(objectType v1.ObjectType) bool {
	switch objectType {
	case v1.ObjectType_OBJECT_TYPE_OPERATOR, v1.ObjectType_OBJECT_TYPE_BOUND,
		v1.ObjectType_OBJECT_TYPE_PIN, v1.ObjectType_OBJECT_TYPE_POLICY:
		return false
	default:
		return true
	}
}

// TenantOfKey returns the tenant that owns the API key with the hash, or nil.
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
