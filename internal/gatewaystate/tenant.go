package gatewaystate

import (
	"slices"
	"sync/atomic"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Tenant is a tenant that has sent a request to this gateway.
type Tenant struct {
	Name string
	// Spec is shared and must not be changed.
	Spec     *v1.Tenant
	lastUsed *atomic.Int64
}

// MarkUsed records that a request of the tenant arrived at now. Tenants without requests are removed
// after a while. It is safe for concurrent use.
func (t *Tenant) MarkUsed(now time.Duration) { t.lastUsed.Store(int64(now)) }

// MayUseModel reports whether the tenant may use the model.
func (t *Tenant) MayUseModel(model string) bool {
	return len(t.Spec.GetModels()) == 0 || slices.Contains(t.Spec.GetModels(), model)
}

// KeyStatus is the known status of an API key.
type KeyStatus int

// Key statuses.
const (
	KeyUnknown  KeyStatus = iota // not known here; the controllers must be queried
	KeyAccepted                  // belongs to a tenant
	KeyRejected                  // belongs to no tenant
)

// MayUseAdapter reports whether the tenant may use the adapter.
func MayUseAdapter(adapter *v1.Adapter, tenant string) bool {
	return len(adapter.GetTenants()) == 0 || slices.Contains(adapter.GetTenants(), tenant)
}
