package language

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// ReferenceFault is one object that is inconsistent with the other objects of a configuration.
type ReferenceFault struct {
	Key   *v1.ObjectKey
	Field string
	// Message says what is wrong; Suggestion is the closest declared name, or empty.
	Message    string
	Suggestion string
}

// ReferenceFaults lists every inconsistency of one configuration, sorted by type and name of the object.
type ReferenceFaults []ReferenceFault

// Error returns one line for each fault.
func (f ReferenceFaults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.message()
	}
	return strings.Join(lines, "\n")
}

// As lets trace.IsBadParameter recognize the faults.
func (f ReferenceFaults) As(target any) bool { return asBadParameter(f, target) }

// CheckReferences checks that a whole configuration is consistent: referenced objects exist, keys and
// paths are unique, and fields suit the type of their service. It ignores tombstones. The error is a
// ReferenceFaults inside a trace error.
func CheckReferences(objects []*v1.Object) error {
	if faults := findReferenceFaults(objects); len(faults) > 0 {
		return trace.Wrap(faults)
	}
	return nil
}

func (f ReferenceFault) message() string {
	text := FormatKey(f.Key) + ": " + f.Message
	if f.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", f.Suggestion)
	}
	return text
}

// referenceChecker collects the faults of one configuration.
type referenceChecker struct {
	objects []*v1.Object
	names   map[v1.ObjectType][]string
	byKey   map[string]*v1.Object
	faults  ReferenceFaults
}

func findReferenceFaults(objects []*v1.Object) ReferenceFaults {
	checker := &referenceChecker{names: map[v1.ObjectType][]string{}, byKey: indexByKey(objects)}
	for _, object := range checker.byKey {
		checker.objects = append(checker.objects, object)
	}
	SortObjects(checker.objects)
	for _, object := range checker.objects {
		key := object.GetKey()
		checker.names[key.GetType()] = append(checker.names[key.GetType()], key.GetName())
	}
	for _, object := range checker.objects {
		checker.checkNames(object)
		checker.checkService(object)
	}
	checker.checkUnique()
	return checker.faults
}

func (c *referenceChecker) addFault(object *v1.Object, field, suggestion, format string, arguments ...any) {
	c.faults = append(c.faults, ReferenceFault{
		Key:        object.GetKey(),
		Field:      field,
		Message:    fmt.Sprintf(format, arguments...),
		Suggestion: suggestion,
	})
}

// checkNames checks that every object that a field refers to is declared.
func (c *referenceChecker) checkNames(object *v1.Object) {
	schema := schemaForType(object.GetKey().GetType())
	message := schema.message(object, false)
	for _, field := range schema.fields {
		if field.referencedType == v1.ObjectType_OBJECT_TYPE_UNSPECIFIED || !message.Has(field.proto) {
			continue
		}
		for _, name := range field.referencedNames(message) {
			key := &v1.ObjectKey{Type: field.referencedType, Name: name}
			if c.byKey[FormatKey(key)] == nil {
				known := c.names[field.referencedType]
				c.addFault(object, field.name, suggestWord(name, known), "%s names %s, which is not declared", field.name, FormatKey(key))
			}
		}
	}
}

// checkService checks the fields that depend on the type of their service.
func (c *referenceChecker) checkService(object *v1.Object) {
	switch spec := object.GetSpec().(type) {
	case *v1.Object_Kind:
		c.checkKind(object, spec.Kind)
	case *v1.Object_Service:
		isEngine := spec.Service.GetType() == v1.ServiceType_SERVICE_TYPE_ENGINE
		if isEngine && spec.Service.GetModel() == "" {
			c.addFault(object, "model", "", "an engine service needs a model")
		}
		if !isEngine && spec.Service.GetModel() != "" {
			c.addFault(object, "model", "", "a page service has no model")
		}
	case *v1.Object_Bound:
		c.checkEngineService(object, spec.Bound.GetService())
		if spec.Bound.GetMaximum() != 0 && spec.Bound.GetMaximum() < spec.Bound.GetMinimum() {
			c.addFault(object, "maximum", "", "maximum %d is below minimum %d", spec.Bound.GetMaximum(), spec.Bound.GetMinimum())
		}
	case *v1.Object_Policy:
		c.checkEngineService(object, spec.Policy.GetService())
	}
}

func (c *referenceChecker) checkKind(object *v1.Object, kind *v1.Kind) {
	service := c.serviceNamed(kind.GetService())
	if service == nil {
		return
	}
	isPage := service.GetType() == v1.ServiceType_SERVICE_TYPE_PAGE
	if isPage && kind.GetPath() == "" {
		c.addFault(object, "path", "", "a kind of the page service %s needs a path", quoteName(kind.GetService()))
	}
	if !isPage && kind.GetPath() != "" {
		c.addFault(object, "path", "", "a kind of the engine service %s has no path: callers name it by header", quoteName(kind.GetService()))
	}
}

func (c *referenceChecker) checkEngineService(object *v1.Object, name string) {
	if service := c.serviceNamed(name); service != nil && service.GetType() != v1.ServiceType_SERVICE_TYPE_ENGINE {
		c.addFault(object, "service", "", "service %s has no engines", quoteName(name))
	}
}

// serviceNamed returns the declared service with the given name, or nil.
func (c *referenceChecker) serviceNamed(name string) *v1.Service {
	return c.byKey[FormatKey(&v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_SERVICE, Name: name})].GetService()
}

// checkUnique checks the values that only one object may have.
func (c *referenceChecker) checkUnique() {
	owners := map[string]*v1.Object{}
	claim := func(object *v1.Object, field, what, value string) {
		if value == "" {
			return
		}
		if owner := owners[what+" "+value]; owner != nil {
			c.addFault(object, field, "", "%s is already that of %s", what, FormatKey(owner.GetKey()))
			return
		}
		owners[what+" "+value] = object
	}
	for _, object := range c.objects {
		for _, hash := range object.GetTenant().GetApiKeyHashes() {
			claim(object, "api_key_hashes", "API key", hash)
		}
		claim(object, "path", "path", object.GetKind().GetPath())
		claim(object, "service", "policy of service", object.GetPolicy().GetService())
		claim(object, "key_hash", "operator key", object.GetOperator().GetKeyHash())
		if bound := object.GetBound(); bound != nil {
			claim(object, "service", "bound of this service, zone and role", bound.GetService()+"/"+bound.GetZone()+"/"+RoleName(bound.GetRole()))
		}
	}
}
