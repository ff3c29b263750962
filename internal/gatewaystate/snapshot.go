package gatewaystate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Snapshot is an immutable view of a State. It is safe for concurrent use.
type Snapshot struct {
	// Revision is the applied revision; zero before the first applied answer of a controller.
	Revision uint64
	// SyncedAt is the time of the last applied answer.
	SyncedAt time.Duration

	kinds     map[string]*Kind
	pathKinds []*Kind // longest path first
	models    map[string]*v1.Model
	adapters  map[string]*v1.Adapter
	keys      map[string]*Tenant // by hash of API key
	rejected  map[string]struct{}
}

// Tenant returns the owner of an API key by the key's hash (lower-case hex SHA-256), and the status of the key.
func (s *Snapshot) Tenant(keyHash string) (*Tenant, KeyStatus) {
	if tenant, ok := s.keys[keyHash]; ok {
		return tenant, KeyAccepted
	}
	if _, ok := s.rejected[keyHash]; ok {
		return nil, KeyRejected
	}
	return nil, KeyUnknown
}

// Kind returns the kind with the given name; false if there is none.
func (s *Snapshot) Kind(name string) (*Kind, bool) {
	kind, ok := s.kinds[name]
	return kind, ok
}

// KindByPath returns the kind with the longest path prefix that covers the path; false if there is none.
func (s *Snapshot) KindByPath(path string) (*Kind, bool) {
	for _, kind := range s.pathKinds {
		if kind.matchesPath(path) {
			return kind, true
		}
	}
	return nil, false
}

// OnlyKindForModel returns the only engine kind that declares no path and whose service serves the base model. It returns
// false when no kind or several kinds match. The empty model matches every such kind.
func (s *Snapshot) OnlyKindForModel(model string) (*Kind, bool) {
	var match *Kind
	for _, kind := range s.kinds {
		if kind.Spec.GetPath() != "" || kind.ServiceType != v1.ServiceType_SERVICE_TYPE_ENGINE {
			continue
		}
		if model != "" && kind.Model != model {
			continue
		}
		if match != nil {
			return nil, false
		}
		match = kind
	}
	return match, match != nil
}

// Model returns the declared model with the given name; false if there is none.
func (s *Snapshot) Model(name string) (*v1.Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Adapter returns the declared adapter with the given name; false if there is none.
func (s *Snapshot) Adapter(name string) (*v1.Adapter, bool) {
	adapter, ok := s.adapters[name]
	return adapter, ok
}

// Models returns the names of the base models, sorted.
func (s *Snapshot) Models() []string {
	return slices.Sorted(maps.Keys(s.models))
}

// fill builds the lookup tables from the declared objects.
func (s *Snapshot) fill(objects map[objectKey]*v1.Object, newTenant func(string) *Tenant) {
	s.kinds = map[string]*Kind{}
	s.models = map[string]*v1.Model{}
	s.adapters = map[string]*v1.Adapter{}
	s.keys = map[string]*Tenant{}
	for key, object := range objects {
		switch key.objectType {
		case v1.ObjectType_OBJECT_TYPE_KIND:
			service := objects[objectKey{v1.ObjectType_OBJECT_TYPE_SERVICE, object.GetKind().GetService()}].GetService()
			s.kinds[key.name] = &Kind{Name: key.name, Spec: object.GetKind(), ServiceType: service.GetType(), Model: service.GetModel()}
		case v1.ObjectType_OBJECT_TYPE_MODEL:
			s.models[key.name] = object.GetModel()
		case v1.ObjectType_OBJECT_TYPE_ADAPTER:
			s.adapters[key.name] = object.GetAdapter()
		case v1.ObjectType_OBJECT_TYPE_TENANT:
			tenant := newTenant(key.name)
			tenant.Spec = object.GetTenant()
			for _, hash := range object.GetTenant().GetApiKeyHashes() {
				s.keys[hash] = tenant
			}
		}
	}
	s.pathKinds = nil
	for _, name := range slices.Sorted(maps.Keys(s.kinds)) {
		if s.kinds[name].Spec.GetPath() != "" {
			s.pathKinds = append(s.pathKinds, s.kinds[name])
		}
	}
	slices.SortStableFunc(s.pathKinds, func(a, b *Kind) int {
		return cmp.Compare(len(b.Spec.GetPath()), len(a.Spec.GetPath()))
	})
}
