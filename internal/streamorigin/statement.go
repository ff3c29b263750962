package streamorigin

import (
	"slices"
	"time"
)

// Statement is the leader's statement of which versions, of which services, can have begun streams. The leader records each version in the
// replicated log before any relay learns of a back end that has it, and keeps it for MaxLifetime after its last back end was listed. It records
// each change of a route with the configuration that changes it. So a statement includes every version that had begun a stream when the leader
// made it.
type Statement struct {
	// CompleteFor says for how long no version has served, and no route has changed, that the statement lacks.
	CompleteFor time.Duration
	// Versions are the versions by service.
	Versions map[string]map[Version]bool
	// ChangedRoutes are the routes that were added, removed or led to other services within ChangeRetention.
	ChangedRoutes map[RouteID]bool
	// HaveRoutesChanged is true if there are such routes, also where the statement does not name them.
	HaveRoutesChanged bool
}

// Single returns the version that alone can have begun a stream of a service. It returns false if there are several, if one of them is
// unknown, if there is none, or if the statement does not reach back far enough. It does not depend on how long a stream can last by the
// present configuration: streams may have begun under a former one, and at a relay that has not learned yet that a version has left.
func (s *Statement) Single(service string) (Version, bool) {
	if s == nil || s.CompleteFor < MaxLifetime || len(s.Versions[service]) != 1 {
		return Unknown, false
	}
	for version := range s.Versions[service] {
		return version, version > Unknown
	}
	return Unknown, false
}

// SingleOf returns the version that alone can have begun a stream, given the routes that must not have changed so that the stream has begun at the
// service. It returns false as Single does, and if one of them has changed.
func (s *Statement) SingleOf(routes []RouteID, service string) (Version, bool) {
	if s == nil || slices.ContainsFunc(routes, func(route RouteID) bool { return s.ChangedRoutes[route] }) {
		return Unknown, false
	}
	return s.Single(service)
}

// Contains reports whether the statement names a version of a service.
func (s *Statement) Contains(service string, version Version) bool {
	return s.Versions[service][version]
}
