package property

import (
	"crypto/sha256"
	"encoding/hex"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Names, paths and the model version that the configuration of each property run declares.
const (
	model          = "base"
	modelVersion   = "1"
	engineService  = "engines"
	pageService    = "portal"
	kindRepeatable = "question"
	kindOnce       = "order"
	kindListing    = "listing"
	kindRegister   = "registration"
	pathListing    = "/lots"
	pathRegister   = "/registrations"
	zone           = "zone"
)

// deadlineMs is the deadline of every kind.
const deadlineMs = 20_000

// tenantKeys are the API keys of the run's tenants.
var tenantKeys = []string{"key-of-tenant-one", "key-of-tenant-two"}

// configuration is what the controllers send to gateways.
type configuration struct {
	objects   []*v1.Object
	tenants   map[string]*v1.Object // by the hash of their key
	directory *v1.Directory
}

func newConfiguration(backEnds []*v1.BackEnd) configuration {
	created := configuration{
		tenants:   map[string]*v1.Object{},
		directory: &v1.Directory{Version: 1, BackEnds: backEnds},
		objects: []*v1.Object{
			object(v1.ObjectType_OBJECT_TYPE_MODEL, model, &v1.Object{Spec: &v1.Object_Model{Model: &v1.Model{Version: modelVersion}}}),
			service(engineService, &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: model}),
			service(pageService, &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_PAGE}),
			kind(kindRepeatable, &v1.Kind{Worth: 1, Repeatable: true, Service: engineService}),
			kind(kindOnce, &v1.Kind{Worth: 5, Service: engineService}),
			kind(kindListing, &v1.Kind{Worth: 1, Repeatable: true, Service: pageService, Path: pathListing}),
			kind(kindRegister, &v1.Kind{Worth: 9, Service: pageService, Path: pathRegister}),
		},
	}
	for _, key := range tenantKeys {
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		created.tenants[hash] = object(v1.ObjectType_OBJECT_TYPE_TENANT, "tenant-of-"+key, &v1.Object{Spec: &v1.Object_Tenant{
			Tenant: &v1.Tenant{ApiKeyHashes: []string{hash}, Weight: 1, CacheSalt: "salt-of-" + key},
		}})
	}
	return created
}

func object(of v1.ObjectType, name string, created *v1.Object) *v1.Object {
	created.Key, created.Revision = &v1.ObjectKey{Type: of, Name: name}, 1
	return created
}

func service(name string, spec *v1.Service) *v1.Object {
	return object(v1.ObjectType_OBJECT_TYPE_SERVICE, name, &v1.Object{Spec: &v1.Object_Service{Service: spec}})
}

func kind(name string, spec *v1.Kind) *v1.Object {
	spec.DeadlineMs = deadlineMs
	return object(v1.ObjectType_OBJECT_TYPE_KIND, name, &v1.Object{Spec: &v1.Object_Kind{Kind: spec}})
}
