package gatewaystate

import (
	"strings"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Kind is a declared kind of request with the properties of the service that answers it.
type Kind struct {
	Name string
	// Spec is shared and must not be changed.
	Spec *v1.Kind
	// ServiceType is the type of the service: engines or page services.
	ServiceType v1.ServiceType
	// Model is the base model of an engine service; empty for page services.
	Model string
}

// Deadline returns the allowed time from the arrival of a request to the last byte of its answer;
// zero means that the kind declares none.
func (k *Kind) Deadline() time.Duration {
	return time.Duration(k.Spec.GetDeadlineMs()) * time.Millisecond
}

// matchesPath reports whether the kind's path prefix covers the path at a segment
// boundary.
func (k *Kind) matchesPath(path string) bool {
	prefix := strings.TrimSuffix(k.Spec.GetPath(), "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
