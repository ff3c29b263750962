package scenario

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// Service is a group of engines that serve one model. Engines of one service never
// serve another; two services are planned apart.
type Service struct {
	Name string `yaml:"name" check:"required"`
	// Model that callers name; default: the service's name.
	Model string `yaml:"model"`
	// Profile is the base of the engines' token times; docs/ENGINE-PROFILE.md.
	Profile string `yaml:"profile" default:"dense-70b-8" check:"one-of=dense-70b-8"`
	// Speed makes the engines so many times as fast as their profile.
	Speed float64 `yaml:"speed" default:"1" check:"positive"`
	// RoleChange is the time an empty engine is out of service to change its role;
	// default: the profile's.
	RoleChange time.Duration `yaml:"role_change" check:"positive"`
	// PrefixCacheBlocks is the memory for cached prefixes; default: the profile's.
	PrefixCacheBlocks int `yaml:"prefix_cache_blocks" check:"not-negative"`
	// Engines is the number of engines in each zone. Required.
	Engines map[string]int `yaml:"engines" check:"required,not-negative"`
	// InitialRoles are taken in turn within each zone; default: all mixed.
	InitialRoles []enginecontract.Role `yaml:"initial_roles" check:"one-of=prefill|decode|mixed"`
	// Trade is the declared trade between goodput and role changes.
	Trade Trade `yaml:"trade"`
	// Bounds on the number of engines in a role.
	Bounds []Bound `yaml:"bounds"`
	// Pins are the roles that single engines keep, by the engine's name.
	Pins map[string]enginecontract.Role `yaml:"pins" check:"one-of=prefill|decode|mixed"`
}

// Trade is what one role change must be worth, and how many there may be.
type Trade struct {
	// ChangePrice is the worth that one role change must bring beyond its cost.
	ChangePrice float64 `yaml:"change_price" default:"0" check:"not-negative"`
	// ChangesPerHour is the budget of the whole service; 0 is no limit.
	ChangesPerHour int `yaml:"changes_per_hour" default:"0" check:"not-negative"`
	// MinimumDwell is the least time an engine keeps a role.
	MinimumDwell time.Duration `yaml:"minimum_dwell" default:"0s" check:"not-negative"`
	// Horizon is the time over which a change must pay back.
	Horizon time.Duration `yaml:"horizon" default:"2m" check:"positive"`
}

// Bound limits the number of engines in a role, in one zone or overall.
type Bound struct {
	// Zone the bound holds in; default: all zones together.
	Zone string              `yaml:"zone"`
	Role enginecontract.Role `yaml:"role" check:"required,one-of=prefill|decode|mixed"`
	// Minimum and Maximum number of engines; a Maximum of 0 is none.
	Minimum int `yaml:"minimum" default:"0" check:"not-negative"`
	Maximum int `yaml:"maximum" default:"0" check:"not-negative"`
	// MaximumOut is the number of engines out for a change at once.
	MaximumOut int `yaml:"maximum_out" default:"1" check:"positive"`
}

// EngineProfile is the token-time profile of the service's engines.
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

// ModelName is the model that callers of a kind name.
func (s Scenario) ModelName(kind Kind) string {
	for _, service := range s.Services {
		if service.Name == kind.Service && service.Model != "" {
			return service.Model
		}
	}
	return kind.Service
}
