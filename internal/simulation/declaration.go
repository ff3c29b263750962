package simulation

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Names of the declared fleet.
const (
	modelName        = "matcher"
	modelVersion     = "1"
	registrationKind = "registration"
	pageService      = "portal"
	firstWeight      = 7
)

// declareFleet submits the first declaration until it is accepted, then calls done.
func (o *operatorClient) declareFleet(done func()) {
	sent := &submission{
		operator: o.name, objects: o.world.fleetObjects(),
		request: &v1.ApplyRequest{RequestId: "first", SourceRevision: "simulated"},
	}
	o.submitThen(sent, func(response *v1.ApplyResponse) {
		if response.GetOutcome() == v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
			o.highest, o.firstNumber = response.GetChangeNumber(), response.GetChangeNumber()
			o.world.firstRevision = response.GetRevision()
			done()
			return
		}
		o.after(time.Second, func() { o.declareFleet(done) })
	})
}

// fleetObjects returns the objects of the first declaration.
func (w *world) fleetObjects() []*v1.Object {
	objects := []*v1.Object{
		withKey(v1.ObjectType_OBJECT_TYPE_MODEL, modelName, &v1.Object{Spec: &v1.Object_Model{
			Model: &v1.Model{Version: modelVersion, WeightBytes: 1 << 30, Profile: "standard"}}}),
		withKey(v1.ObjectType_OBJECT_TYPE_SERVICE, pageService, &v1.Object{Spec: &v1.Object_Service{
			Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_PAGE}}}),
		registrationObject(1),
	}
	for _, service := range w.options.Deployment.Services {
		objects = append(objects, withKey(v1.ObjectType_OBJECT_TYPE_SERVICE, service.Name, &v1.Object{Spec: &v1.Object_Service{
			Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: modelName}}}))
	}
	for i := range tenants {
		objects = append(objects, tenantObject(tenantName(i), firstWeight))
	}
	return objects
}

// withKey sets the key of an object.
func withKey(objectType v1.ObjectType, name string, object *v1.Object) *v1.Object {
	object.Key = &v1.ObjectKey{Type: objectType, Name: name}
	return object
}

// registrationObject returns the request kind that runs at most once, with the given worth.
func registrationObject(worth float64) *v1.Object {
	return withKey(v1.ObjectType_OBJECT_TYPE_KIND, registrationKind, &v1.Object{Spec: &v1.Object_Kind{Kind: &v1.Kind{
		Worth: worth, DeadlineMs: 5000, Service: pageService, Path: "/registration"}}})
}

// tenantObject returns a tenant with the given weight, the value that operators change.
func tenantObject(name string, weight uint32) *v1.Object {
	return withKey(v1.ObjectType_OBJECT_TYPE_TENANT, name, &v1.Object{Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{Weight: weight}}})
}
