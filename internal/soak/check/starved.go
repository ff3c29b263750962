package check

import (
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// tenantWindow is the length of the windows in which the requests of the tenants are compared. It holds over ten
	// requests of each small tenant of a run.
	tenantWindow = 4 * time.Second
	// tenantMinSample is the smallest number of a tenant's requests in a window for which the tenant is checked.
	tenantMinSample = 10
)

// tenantRequest is a request of a tenant with all its attempts.
type tenantRequest struct {
	tenant string
	// sentAt is when the first attempt was sent.
	sentAt time.Duration
	served bool
	// disturbed is true if the relay of one of the attempts had a fault meanwhile.
	disturbed bool
}

// tenantRequests returns the requests of all tenants.
func tenantRequests(recorded *history.History) map[string]tenantRequest {
	requests := map[string]tenantRequest{}
	for _, sending := range recorded.Sendings {
		if sending.Tenant == "" {
			continue
		}
		request, known := requests[sending.Request]
		if !known {
			request = tenantRequest{tenant: sending.Tenant, sentAt: sending.SentAt}
		}
		request.served = request.served || sending.WasRun()
		request.disturbed = request.disturbed || recorded.WasDisturbed(sending.SentAt, sending.EndedAt, sending.Front)
		requests[sending.Request] = request
	}
	return requests
}

// requestsByWindow counts the requests of all tenants, by the window in which they were first sent, without those
// disturbed.
func requestsByWindow(recorded *history.History) map[time.Duration]map[string]Share {
	windows := map[time.Duration]map[string]Share{}
	for _, request := range tenantRequests(recorded) {
		if request.disturbed {
			continue
		}
		window := request.sentAt / tenantWindow
		if windows[window] == nil {
			windows[window] = map[string]Share{}
		}
		windows[window][request.tenant] = windows[window][request.tenant].with(request.served)
	}
	return windows
}

// tenantsBelowShare returns the tenants of a window with at least tenantMinSample requests that asked for no more than an
// equal part of what was served to all tenants.
func tenantsBelowShare(window map[string]Share) map[string]Share {
	served := 0
	for _, share := range window {
		served += share.Served
	}
	found := map[string]Share{}
	for tenant, share := range window {
		if share.All >= tenantMinSample && share.All*len(window) <= served {
			found[tenant] = share
		}
	}
	return found
}

// ModestTenants counts, by tenant, the requests in windows in which the tenant asked for no more than an equal part of
// what was served to all tenants.
func ModestTenants(recorded *history.History) map[string]Share {
	totals := map[string]Share{}
	for _, window := range requestsByWindow(recorded) {
		for tenant, share := range tenantsBelowShare(window) {
			total := totals[tenant]
			totals[tenant] = Share{Served: total.Served + share.Served, All: total.All + share.All}
		}
	}
	return totals
}

// starved finds tenants that asked for no more than an equal part of what was served and were not served at all in a
// window, or less than Bounds.TenantShare over the run.
func starved(recorded *history.History) []Finding {
	var findings []Finding
	windows := requestsByWindow(recorded)
	for _, number := range slices.Sorted(maps.Keys(windows)) {
		for tenant, share := range tenantsBelowShare(windows[number]) {
			if share.Served == 0 {
				findings = append(findings, newFinding(Starved, number*tenantWindow, "none of %d requests of tenant %s within %s was served, although it asked for less than its share", share.All, tenant, tenantWindow))
			}
		}
	}
	required, totals := recorded.Bounds.TenantShare, ModestTenants(recorded)
	for _, tenant := range slices.Sorted(maps.Keys(totals)) {
		if share := totals[tenant]; !share.isAtLeast(required) {
			findings = append(findings, newFinding(Starved, 0, "%d of %d requests of tenant %s were served while it asked for less than its share, the share must be %.2f", share.Served, share.All, tenant, required))
		}
	}
	return findings
}
