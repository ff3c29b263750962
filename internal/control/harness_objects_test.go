package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

func serviceObjects() []*v1.Object {
	return []*v1.Object{
		{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_MODEL, Name: "base"},
			Spec: &v1.Object_Model{Model: &v1.Model{Version: "1"}}},
		{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_SERVICE, Name: "assessor"},
			Spec: &v1.Object_Service{Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: "base"}}},
	}
}

func tenantObject(name, keyHash string) *v1.Object {
	return &v1.Object{
		Key:  &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_TENANT, Name: name},
		Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{ApiKeyHashes: []string{keyHash}, Weight: 1, TokensPerSecond: 1000, Concurrency: 10}},
	}
}

func pinObjectFor(engine string, role v1.Role) *v1.Object {
	return &v1.Object{
		Key:  &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_PIN, Name: engine},
		Spec: &v1.Object_Pin{Pin: &v1.Pin{Engine: engine, Role: role}},
	}
}

// scriptedPlanner decides on the same changes each time.
type scriptedPlanner struct{ changes []planner.Change }

func (p *scriptedPlanner) Plan(planner.Observation) planner.Decision {
	return planner.Decision{Changes: p.changes, Reason: "scripted"}
}
