package soak

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/soak/check"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// PressureReport is the result of one seed at the service with few slots.
type PressureReport struct {
	// SlotOwner is the relay that owns the shared slots; empty when relays do not share them.
	SlotOwner string `json:"slot_owner"`
	// Tenants counts the tenants' attempts.
	Tenants check.Share `json:"tenants"`
	// Modest counts the requests of tenants while they asked for less than their share.
	Modest check.Share `json:"modest"`
	// Returns counts the returns as told, to relays that had no fault meanwhile, nor had the owner of the slots.
	Returns check.Share `json:"returns"`
}

func pressureReportOf(recorded *history.History) *PressureReport {
	report := &PressureReport{SlotOwner: recorded.SlotOwner, Returns: check.Returns(recorded)}
	for _, sending := range recorded.Sendings {
		if sending.Tenant == "" {
			continue
		}
		if sending.WasRun() {
			report.Tenants.Served++
		}
		report.Tenants.All++
	}
	for _, share := range check.ModestTenants(recorded) {
		report.Modest.All += share.All
		report.Modest.Served += share.Served
	}
	return report
}

// String formats the report on one line.
func (r PressureReport) String() string {
	mode := "slots not shared"
	if r.SlotOwner != "" {
		mode = "slots shared by " + r.SlotOwner
	}
	return fmt.Sprintf("few slots: %s; tenants' attempts %s, requests of tenants below their share %s, returns as told %s", mode, r.Tenants, r.Modest, r.Returns)
}
