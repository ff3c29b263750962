package streamorigin

import "time"

// Statement is the leader's statement of which versions can have begun streams. The leader records each version in the replicated log
// before any relay learns of a back end that has it, so that a statement includes every version that had begun a stream when the
// leader made it.
type Statement struct {
	// CompleteFor says for how long no version has served that the statement lacks.
	CompleteFor time.Duration
	// Versions are the versions by service.
	Versions map[string][]StatedVersion
}

// StatedVersion is one version of a statement.
type StatedVersion struct {
	Version Version
	// UnlistedFor says for how long no back end of the version has been listed; 0 while one is.
	UnlistedFor time.Duration
}

// Single returns the version that alone can have begun a stream of a service which lasts no longer than the lifetime. It returns false
// if there are several, if one of them is unknown, if there is none, or if the statement does not reach back that far.
func (s *Statement) Single(service string, lifetime time.Duration) (Version, bool) {
	if s == nil || s.CompleteFor < lifetime {
		return Unknown, false
	}
	single := None
	for _, stated := range s.Versions[service] {
		if stated.UnlistedFor >= lifetime && stated.UnlistedFor > 0 {
			continue
		}
		if single != None {
			return Unknown, false
		}
		single = stated.Version
	}
	return single, single > Unknown
}

// Contains reports whether the statement names a version of a service.
func (s *Statement) Contains(service string, version Version) bool {
	for _, stated := range s.Versions[service] {
		if stated.Version == version {
			return true
		}
	}
	return false
}
