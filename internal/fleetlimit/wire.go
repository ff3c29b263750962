package fleetlimit

import (
	"math"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// ToWire returns the message that announces a limit to other processes.
func ToWire(limit BackEndLimit) *v1.NamedLimit {
	return &v1.NamedLimit{BackEnd: limit.BackEnd, Named: limit.Limit.IsSet, PerSecond: limit.Limit.PerSecond}
}

// FromWire returns the limit in a message of another process; valid is false if no back end can have named it.
func FromWire(message *v1.NamedLimit) (limit BackEndLimit, valid bool) {
	perSecond := message.GetPerSecond()
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return BackEndLimit{}, false
	}
	limit = BackEndLimit{BackEnd: message.GetBackEnd()}
	if message.GetNamed() {
		limit.Limit = backpressure.Limit{IsSet: true, PerSecond: perSecond}
	}
	return limit, true
}

// LimitsToWire applies ToWire to all limits.
func LimitsToWire(limits []BackEndLimit) []*v1.NamedLimit {
	messages := make([]*v1.NamedLimit, 0, len(limits))
	for _, limit := range limits {
		messages = append(messages, ToWire(limit))
	}
	return messages
}
