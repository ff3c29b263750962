package scenario

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// Service is a group of engines that serve one model. An engine belongs to one service, and
// each service is planned separately.
type Service struct {
	Name string `yaml:"name" check:"required"`
	// Model that callers name; the default is the service's name.
	Model string `yaml:"model"`
	// Profile is the name of the engines' base profile; see docs/ENGINE-PROFILE.md.
	Profile string `yaml:"profile" default:"dense-70b-8" check:"one-of=dense-70b-8"`
	// Speed multiplies the speed of the profile.
	Speed float64 `yaml:"speed" default:"1" check:"positive"`
	// RoleChange is how long an empty engine is out of service for a role change; the default
	// is the profile's.
	RoleChange time.Duration `yaml:"role_change" check:"positive"`
	// PrefixCacheBlocks is the size of the prefix cache; the default is the profile's.
	PrefixCacheBlocks int `yaml:"prefix_cache_blocks" check:"not-negative"`
	// Engines is the number of engines in each zone. Required.
	Engines map[string]int `yaml:"engines" check:"required,not-negative"`
	// InitialRoles are assigned in turn within each zone; the default is all mixed.
	InitialRoles []enginecontract.Role `yaml:"initial_roles" check:"one-of=prefill|decode|mixed"`
	// Trade is the declared trade-off between goodput and role changes.
	Trade Trade `yaml:"trade"`
	// Bounds limit the number of engines in a role.
	Bounds []Bound `yaml:"bounds"`
	// Pins are the fixed roles of single engines, by engine name.
	Pins map[string]enginecontract.Role `yaml:"pins" check:"one-of=prefill|decode|mixed"`
}

// Trade is the minimum gain of a role change and the limits on the number of changes.
type Trade struct {
	// ChangePrice is the worth that one role change must gain beyond its cost.
	ChangePrice float64 `yaml:"change_price" default:"0" check:"not-negative"`
	// ChangesPerHour limits the changes of the whole service; 0 is no limit.
	ChangesPerHour int `yaml:"changes_per_hour" default:"0" check:"not-negative"`
	// MinimumDwell is the minimum time that an engine keeps a role.
	MinimumDwell time.Duration `yaml:"minimum_dwell" default:"0s" check:"not-negative"`
	// Horizon is the time within which a change must pay back.
	Horizon time.Duration `yaml:"horizon" default:"2m" check:"positive"`
}

// Bound limits the number of engines in a role, in one zone or overall.
type Bound struct {
	// Zone to which the bound applies; the default is all zones together.
	Zone string              `yaml:"zone"`
	Role enginecontract.Role `yaml:"role" check:"required,one-of=prefill|decode|mixed"`
	// Minimum and Maximum number of engines; a Maximum of 0 is no limit.
	Minimum int `yaml:"minimum" default:"0" check:"not-negative"`
	Maximum int `yaml:"maximum" default:"0" check:"not-negative"`
	// MaximumOut is the number of engines that may be out of service for a change at once.
	MaximumOut int `yaml:"maximum_out" default:"1" check:"positive"`
}

// EngineProfile returns the timing profile of the service's engines.
func (s Service) EngineProfile() enginemodel.Profile {
	profile := enginemodel.DefaultProfile().Faster(s.Speed)
	if s.RoleChange > 0 {
		profile.RoleChange = s.RoleChange
	}
	if s.PrefixCacheBlocks > 0 {
		profile.PrefixCacheBlocks = s.PrefixCacheBlocks
	}
	return profile
}

// ModelName returns the model that callers name in requests of a kind.
func (s Scenario) ModelName(kind Kind) string {
	for _, service := range s.Services {
		if service.Name == kind.Service && service.Model != "" {
			return service.Model
		}
	}
	return kind.Service
}
