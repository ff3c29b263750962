package controlstate

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// claimUse counts claims and the memory of their outcomes.
type claimUse struct {
	claims int
	// outcomeBytes is the size of the bodies of recorded outcomes.
	outcomeBytes int
}

// claimUses counts the use by claims per tenant and in total, so that no tenant can exhaust
// the capacity of the others.
type claimUses struct {
	all     claimUse
	tenants map[string]claimUse
}

func newClaimUses() claimUses { return claimUses{tenants: map[string]claimUse{}} }

// isFull reports whether one more claim of the tenant would exceed a limit.
func (u *claimUses) isFull(tenant string) bool {
	return u.all.claims >= MaximumClaims || u.tenants[tenant].claims >= MaximumTenantClaims
}

// fitsBody reports whether a body of an outcome of the tenant may be stored.
func (u *claimUses) fitsBody(tenant string, bytes int) bool {
	return bytes <= MaximumOutcomeBytes && u.all.outcomeBytes+bytes <= MaximumTotalOutcomeBytes &&
		u.tenants[tenant].outcomeBytes+bytes <= MaximumTenantOutcomeBytes
}

// add adds a claim to the counts or, with sign -1, subtracts it.
func (u *claimUses) add(record *v1.ClaimRecord, sign int) {
	u.change(record.Tenant, claimUse{claims: sign, outcomeBytes: sign * len(record.Body)})
}

func (u *claimUses) change(tenant string, by claimUse) {
	u.all.claims += by.claims
	u.all.outcomeBytes += by.outcomeBytes
	use := u.tenants[tenant]
	use.claims += by.claims
	use.outcomeBytes += by.outcomeBytes
	if use == (claimUse{}) {
		delete(u.tenants, tenant)
		return
	}
	u.tenants[tenant] = use
}
