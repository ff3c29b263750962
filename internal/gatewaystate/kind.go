package gatewaystate

import (
	"strings"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Kind is a declared kind of request with the service that answers it.
type Kind struct {
	Name string
	// Spec is shared and must not be changed.
	Spec *v1.Kind
	// ServiceType tells whether engines or page services answer.
	ServiceType v1.ServiceType
	// Model is the base model of an engine service.
	Model string
}

// Deadline returns the time from a request's arrival to the last byte of its answer;
// zero means that the kind declares none.
func (k *Kind) Deadline() time.Duration {
	return time.Duration(k.Spec.GetDeadlineMs()) * time.Millisecond
}

// matchesPath reports whether the kind's path prefix covers the path, at a boundary
// between segments.
func (k *Kind) matchesPath(path string) bool {
	prefix := strings.TrimSuffix(k.Spec.GetPath(), "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
