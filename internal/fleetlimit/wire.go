package fleetlimit

import (
	"math"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// ToWire is what processes tell each other of a limit.
func ToWire(named BackEndLimit) *v1.NamedLimit {
	return &v1.NamedLimit{BackEnd: named.BackEnd, Named: named.Limit.IsSet, PerSecond: named.Limit.PerSecond}
}

// FromWire reads what another process tells of a limit; false for one that no back end can have named.
func FromWire(told *v1.NamedLimit) (named BackEndLimit, valid bool) {
	perSecond := told.GetPerSecond()
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return BackEndLimit{}, false
	}
	named = BackEndLimit{BackEnd: told.GetBackEnd()}
	if told.GetNamed() {
		named.Limit = backpressure.Limit{IsSet: true, PerSecond: perSecond}
	}
	return named, true
}

// LimitsToWire is ToWire of several.
func LimitsToWire(limits []BackEndLimit) []*v1.NamedLimit {
	told := make([]*v1.NamedLimit, 0, len(limits))
	for _, named := range limits {
		told = append(told, ToWire(named))
	}
	return told
}
