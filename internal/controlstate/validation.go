package controlstate

import (
	"encoding/hex"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// keyHashBytes is the size of the SHA-256 hash of an API key.
const keyHashBytes = 32

// maximumWorth limits the worth of a request kind, so that sums of worth stay exact enough to compare.
const maximumWorth = 1e9

// CheckObject checks one declared object without the objects it refers to. Errors name the
// object and the remedy.
func CheckObject(object *v1.Object) error { return trace.Wrap(checkObject(object)) }

func checkObject(object *v1.Object) error {
	key := KeyOf(object.GetKey())
	if err := checkName(key.Name); err != nil {
		return trace.BadParameter("%s: %s", key, trace.UserMessage(err))
	}
	if object.Deleted {
		return checkTypeKnown(key)
	}
	if err := checkSpecType(key, object); err != nil {
		return trace.Wrap(err)
	}
	var err error
	switch spec := object.Spec.(type) {
	case *v1.Object_Tenant:
		err = checkTenant(spec.Tenant)
	case *v1.Object_Kind:
		err = checkKind(spec.Kind)
	case *v1.Object_Model:
		err = checkModel(spec.Model)
	case *v1.Object_Adapter:
		err = checkAdapter(spec.Adapter)
	case *v1.Object_Service:
		err = checkService(spec.Service)
	case *v1.Object_Bound:
		err = checkBound(spec.Bound)
	case *v1.Object_Pin:
		err = checkPin(spec.Pin)
	case *v1.Object_Policy:
		err = checkPolicy(spec.Policy)
	case *v1.Object_Operator:
		err = checkOperator(spec.Operator)
	}
	if err != nil {
		return trace.BadParameter("%s: %s", key, trace.UserMessage(err))
	}
	return nil
}

func checkName(name string) error {
	if name == "" {
		return trace.BadParameter("the name is empty")
	}
	if len(name) > MaximumNameBytes {
		return trace.BadParameter("the name has %d bytes; at most %d", len(name), MaximumNameBytes)
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }) {
		return trace.BadParameter("the name %q has blanks or unprintable characters; use letters, digits, - _ . /", name)
	}
	return nil
}

func checkTypeKnown(key Key) error {
	if _, known := specFields[key.Type]; !known {
		return trace.BadParameter("%q has no known object type", key.Name)
	}
	return nil
}

// specFields maps each object type to the name of its field in Object.spec.
var specFields = map[v1.ObjectType]string{
	v1.ObjectType_OBJECT_TYPE_TENANT:   "tenant",
	v1.ObjectType_OBJECT_TYPE_KIND:     "kind",
	v1.ObjectType_OBJECT_TYPE_MODEL:    "model",
	v1.ObjectType_OBJECT_TYPE_ADAPTER:  "adapter",
	v1.ObjectType_OBJECT_TYPE_SERVICE:  "service",
	v1.ObjectType_OBJECT_TYPE_BOUND:    "bound",
	v1.ObjectType_OBJECT_TYPE_PIN:      "pin",
	v1.ObjectType_OBJECT_TYPE_POLICY:   "policy",
	v1.ObjectType_OBJECT_TYPE_OPERATOR: "operator",
}

// checkSpecType checks that the object's spec belongs to its type.
func checkSpecType(key Key, object *v1.Object) error {
	if err := checkTypeKnown(key); err != nil {
		return err
	}
	reflected := object.ProtoReflect()
	field := reflected.WhichOneof(reflected.Descriptor().Oneofs().ByName("spec"))
	if field == nil {
		return trace.BadParameter("%s declares nothing; give its fields", key)
	}
	if string(field.Name()) != specFields[key.Type] {
		return trace.BadParameter("%s declares the fields of a %s", key, field.Name())
	}
	return nil
}

func checkKeyHash(hash string) error {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		return trace.BadParameter("the key hash %q is not a SHA-256 in 64 lower-case hex digits", hash)
	}
	return nil
}

func checkNames(field string, names []string) error {
	if len(names) > MaximumListEntries {
		return trace.BadParameter("%d %s; at most %d", len(names), field, MaximumListEntries)
	}
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			return trace.BadParameter("%s names %q twice", field, name)
		}
		seen[name] = true
	}
	return nil
}

func checkTenant(tenant *v1.Tenant) error {
	if len(tenant.ApiKeyHashes) > MaximumAPIKeys {
		return trace.BadParameter("%d API keys; at most %d", len(tenant.ApiKeyHashes), MaximumAPIKeys)
	}
	for _, hash := range tenant.ApiKeyHashes {
		if err := checkKeyHash(hash); err != nil {
			return err
		}
	}
	if err := checkNames("api_key_hashes", tenant.ApiKeyHashes); err != nil {
		return err
	}
	return checkNames("models", tenant.Models)
}

func checkKind(kind *v1.Kind) error {
	switch {
	case math.IsNaN(kind.Worth) || kind.Worth < 0 || kind.Worth > maximumWorth:
		return trace.BadParameter("worth %v is outside 0 to %v", kind.Worth, float64(maximumWorth))
	case kind.DeadlineMs == 0:
		return trace.BadParameter("the deadline is missing; give the longest time from arrival to the last byte")
	case kind.Service == "":
		return trace.BadParameter("the service is missing; name the one that answers this kind")
	case kind.Path != "" && !strings.HasPrefix(kind.Path, "/"):
		return trace.BadParameter("the path %q does not begin with /", kind.Path)
	}
	return nil
}

func checkModel(model *v1.Model) error {
	if model.Version == "" {
		return trace.BadParameter("the version is missing")
	}
	return nil
}

func checkAdapter(adapter *v1.Adapter) error {
	if adapter.Model == "" || adapter.Version == "" {
		return trace.BadParameter("model and version are both needed")
	}
	return checkNames("tenants", adapter.Tenants)
}

func checkService(service *v1.Service) error {
	switch service.Type {
	case v1.ServiceType_SERVICE_TYPE_ENGINE:
		if service.Model == "" {
			return trace.BadParameter("an engine service needs a model")
		}
	case v1.ServiceType_SERVICE_TYPE_PAGE:
		if service.Model != "" {
			return trace.BadParameter("a page service has no model; take out %q", service.Model)
		}
	default:
		return trace.BadParameter("the type is missing; engine or page")
	}
	return nil
}

func checkBound(bound *v1.Bound) error {
	if err := checkRole(bound.Role); err != nil {
		return err
	}
	if bound.Maximum != 0 && bound.Minimum > bound.Maximum {
		return trace.BadParameter("the minimum %d is above the maximum %d", bound.Minimum, bound.Maximum)
	}
	return nil
}

func checkRole(role v1.Role) error {
	switch role {
	case v1.Role_ROLE_PREFILL, v1.Role_ROLE_DECODE, v1.Role_ROLE_MIXED:
		return nil
	default:
		return trace.BadParameter("the role is missing; prefill, decode or mixed")
	}
}

func checkPin(pin *v1.Pin) error {
	if err := checkName(pin.Engine); err != nil {
		return trace.BadParameter("the engine: %s", trace.UserMessage(err))
	}
	return checkRole(pin.Role)
}

func checkPolicy(policy *v1.Policy) error {
	price := policy.ChangePrice
	if math.IsNaN(price) || price < 0 || price > maximumWorth {
		return trace.BadParameter("the change price %v is outside 0 to %v", price, float64(maximumWorth))
	}
	return nil
}

func checkOperator(operator *v1.Operator) error {
	if err := checkKeyHash(operator.KeyHash); err != nil {
		return err
	}
	switch operator.Role {
	case v1.OperatorRole_OPERATOR_ROLE_VIEWER, v1.OperatorRole_OPERATOR_ROLE_OPERATOR,
		v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR:
		return nil
	default:
		return trace.BadParameter("the role is missing; viewer, operator or administrator")
	}
}
