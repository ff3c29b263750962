package returnplan

import "time"

const (
	// maximumAccounts limits the accounts; further tenants of a level share one account.
	maximumAccounts = 4096
	// accountRetention is how long an account is kept after the tenant's last request. Until then
	// slots are reserved for the tenant.
	accountRetention = 5 * time.Second
)

// tenants divides the returns of each level among tenants.
type tenants struct {
	levels  [maximumLevel + 1]*levelTenants
	count   int
	sweptAt time.Duration
}

func newTenants() *tenants {
	t := &tenants{}
	for i := range t.levels {
		t.levels[i] = newLevelTenants()
	}
	return t
}

// account returns the account of a tenant at a level.
func (t *tenants) account(level int, tenant uint64) *account {
	accounts := t.levels[level].accounts
	if known := accounts[tenant]; known != nil {
		return known
	}
	if t.count >= maximumAccounts {
		tenant = 0
		if shared := accounts[tenant]; shared != nil {
			return shared
		}
	}
	created := &account{level: t.levels[level]}
	accounts[tenant] = created
	t.count++
	return created
}

// sweep deletes idle accounts.
func (t *tenants) sweep(now time.Duration) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	for _, level := range t.levels {
		for tenant, each := range level.accounts {
			if each.isIdle(now) {
				delete(level.accounts, tenant)
				t.count--
			}
		}
	}
}
