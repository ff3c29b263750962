package controlstate

import (
	"slices"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// check returns an error unless the configuration after the change is consistent. It examines
// the changed objects and those that refer to deleted ones, so that its cost grows with the
// size of the change and not with that of the configuration.
func (c *change) check() error {
	if total := c.base.inForce + len(c.keys); total > MaximumObjects {
		return trace.BadParameter("up to %d objects would be in force; at most %d", total, MaximumObjects)
	}
	if err := c.checkKeyHashes(); err != nil {
		return trace.Wrap(err)
	}
	for _, key := range c.keys {
		if object := c.objects[key]; !object.Deleted {
			if err := c.checkReferences(key, object); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	if err := c.checkReferrers(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.checkUniqueness())
}

// checkReferences checks that all objects that an object names are in force after the change.
func (c *change) checkReferences(key Key, object *v1.Object) error {
	switch spec := object.Spec.(type) {
	case *v1.Object_Tenant:
		return c.requireAllDeclared(key, v1.ObjectType_OBJECT_TYPE_MODEL, spec.Tenant.Models)
	case *v1.Object_Kind:
		return c.requireDeclared(key, v1.ObjectType_OBJECT_TYPE_SERVICE, spec.Kind.Service)
	case *v1.Object_Adapter:
		if err := c.requireDeclared(key, v1.ObjectType_OBJECT_TYPE_MODEL, spec.Adapter.Model); err != nil {
			return err
		}
		return c.requireAllDeclared(key, v1.ObjectType_OBJECT_TYPE_TENANT, spec.Adapter.Tenants)
	case *v1.Object_Service:
		if spec.Service.Type != v1.ServiceType_SERVICE_TYPE_ENGINE {
			return nil
		}
		return c.requireDeclared(key, v1.ObjectType_OBJECT_TYPE_MODEL, spec.Service.Model)
	case *v1.Object_Bound:
		return c.requireDeclared(key, v1.ObjectType_OBJECT_TYPE_SERVICE, spec.Bound.Service)
	case *v1.Object_Policy:
		return c.requireDeclared(key, v1.ObjectType_OBJECT_TYPE_SERVICE, spec.Policy.Service)
	default:
		return nil
	}
}

func (c *change) requireAllDeclared(key Key, objectType v1.ObjectType, names []string) error {
	for _, name := range names {
		if err := c.requireDeclared(key, objectType, name); err != nil {
			return err
		}
	}
	return nil
}

func (c *change) requireDeclared(key Key, objectType v1.ObjectType, name string) error {
	if c.has(objectType, name) {
		return nil
	}
	return trace.BadParameter("%s refers to %s, which is not declared; declare it or correct the name",
		key, Key{objectType, name})
}

// referrers maps an object type to the types of objects that may refer to it.
var referrers = map[v1.ObjectType][]v1.ObjectType{
	v1.ObjectType_OBJECT_TYPE_MODEL: {
		v1.ObjectType_OBJECT_TYPE_SERVICE, v1.ObjectType_OBJECT_TYPE_ADAPTER, v1.ObjectType_OBJECT_TYPE_TENANT,
	},
	v1.ObjectType_OBJECT_TYPE_SERVICE: {
		v1.ObjectType_OBJECT_TYPE_KIND, v1.ObjectType_OBJECT_TYPE_BOUND, v1.ObjectType_OBJECT_TYPE_POLICY,
	},
	v1.ObjectType_OBJECT_TYPE_TENANT: {v1.ObjectType_OBJECT_TYPE_ADAPTER},
}

// checkReferrers checks that no object refers to a deleted one.
func (c *change) checkReferrers() error {
	var affectedTypes []v1.ObjectType
	for _, key := range c.keys {
		if c.objects[key].Deleted {
			affectedTypes = append(affectedTypes, referrers[key.Type]...)
		}
	}
	slices.Sort(affectedTypes)
	for _, objectType := range slices.Compact(affectedTypes) {
		for _, object := range c.ofType(objectType) {
			if err := c.checkReferences(KeyOf(object.Key), object); err != nil {
				return trace.BadParameter("%s; delete both or neither", trace.UserMessage(err))
			}
		}
	}
	return nil
}

// checkKeyHashes checks that no API key belongs to two tenants.
func (c *change) checkKeyHashes() error {
	owners := map[string]Key{}
	for _, key := range c.keys {
		for _, hash := range c.objects[key].GetTenant().GetApiKeyHashes() {
			if other, taken := owners[hash]; taken {
				return trace.BadParameter("%s and %s have the same API key hash %.8s…; make a new key for one", other, key, hash)
			}
			owners[hash] = key
			owner, inUse := c.base.tenantOfKey[hash]
			ownerKey := Key{v1.ObjectType_OBJECT_TYPE_TENANT, owner}
			if !inUse || ownerKey == key {
				continue
			}
			// The change may remove the key from its current owner.
			if after := c.get(ownerKey); after != nil && slices.Contains(after.GetTenant().ApiKeyHashes, hash) {
				return trace.BadParameter("%s and %s have the same API key hash %.8s…; make a new key for one", ownerKey, key, hash)
			}
		}
	}
	return nil
}

// checkUniqueness checks that no two objects declare the same operator key, path, pinned engine
// or policy, and that no role of a service has two bounds in one zone.
func (c *change) checkUniqueness() error {
	rules := []struct {
		objectType v1.ObjectType
		attribute  func(*v1.Object) string
	}{
		{v1.ObjectType_OBJECT_TYPE_OPERATOR, func(o *v1.Object) string { return "key hash " + o.GetOperator().KeyHash }},
		{v1.ObjectType_OBJECT_TYPE_PIN, func(o *v1.Object) string { return "engine " + o.GetPin().Engine }},
		{v1.ObjectType_OBJECT_TYPE_POLICY, func(o *v1.Object) string { return "service " + o.GetPolicy().Service }},
		{v1.ObjectType_OBJECT_TYPE_KIND, kindPath},
		{v1.ObjectType_OBJECT_TYPE_BOUND, func(o *v1.Object) string {
			bound := o.GetBound()
			return "role " + bound.Role.String() + " of service " + bound.Service + " in zone \"" + bound.Zone + "\""
		}},
	}
	for _, rule := range rules {
		if !c.changesType(rule.objectType) {
			continue
		}
		declaredBy := map[string]Key{}
		for _, object := range c.ofType(rule.objectType) {
			attribute, key := rule.attribute(object), KeyOf(object.Key)
			if other, taken := declaredBy[attribute]; attribute != "" && taken {
				return trace.BadParameter("%s and %s both declare %s; keep one", other, key, attribute)
			}
			declaredBy[attribute] = key
		}
	}
	return nil
}

func kindPath(object *v1.Object) string {
	if path := object.GetKind().Path; path != "" {
		return "path " + path
	}
	return ""
}

func (c *change) changesType(objectType v1.ObjectType) bool {
	return slices.ContainsFunc(c.keys, func(key Key) bool { return key.Type == objectType })
}
