package streamorigin

import "time"

// History knows which versions of each service a relay lists, and which it listed until recently. It is not safe for concurrent use.
type History struct{ services map[string]*serviceHistory }

// serviceHistory holds the versions of one service.
type serviceHistory struct {
	listed map[Version]bool
	// lastListedAt is when a version that is not listed any more was listed last.
	lastListedAt map[Version]time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: map[string]*serviceHistory{}} }

// Update applies a list: the versions of the back ends of each service. It returns the services for which a version is listed
// besides the one that alone was listed before.
func (h *History) Update(now time.Duration, listed map[string]map[Version]bool) (newlyMixed []string) {
	for name, versions := range listed {
		service := h.services[name]
		if service == nil {
			h.services[name] = &serviceHistory{listed: versions, lastListedAt: map[Version]time.Duration{}}
			continue
		}
		if len(service.listed) == 1 && len(versions) > 1 {
			newlyMixed = append(newlyMixed, name)
		}
		service.update(now, versions)
	}
	for name, service := range h.services {
		if listed[name] == nil {
			service.update(now, nil)
		}
		if len(service.listed)+len(service.lastListedAt) == 0 {
			delete(h.services, name)
		}
	}
	return newlyMixed
}

func (s *serviceHistory) update(now time.Duration, versions map[Version]bool) {
	for version := range s.listed {
		if !versions[version] {
			s.lastListedAt[version] = now
		}
	}
	for version, at := range s.lastListedAt {
		if versions[version] || now-at > MaxLifetime {
			delete(s.lastListedAt, version)
		}
	}
	s.listed = versions
}

// Single returns the one version that is listed for a service or was within the lifetime of a stream. It returns false if there are
// several, if one of them is unknown, or if there is none. Other relays may have listed another one: it does not say which version
// began a stream.
func (h *History) Single(now time.Duration, service string, lifetime time.Duration) (Version, bool) {
	known := h.services[service]
	if known == nil {
		return Unknown, false
	}
	single := None
	for version := range known.listed {
		if single != None {
			return Unknown, false
		}
		single = version
	}
	for version, at := range known.lastListedAt {
		if now-at >= lifetime || version == single {
			continue
		}
		if single != None {
			return Unknown, false
		}
		single = version
	}
	return single, single > Unknown
}
