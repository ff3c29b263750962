package controlstate

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// claimUse is what claims take up.
type claimUse struct {
	claims int
	// outcomeBytes are the bodies of recorded outcomes.
	outcomeBytes int
}

// claimUses counts what claims take up, by tenant and in all, so that no tenant can take
// the room of the others.
type claimUses struct {
	all     claimUse
	tenants map[string]claimUse
}

func newClaimUses() claimUses { return claimUses{tenants: map[string]claimUse{}} }

// isFull reports whether one more claim of a tenant is beyond a bound.
func (u *claimUses) isFull(tenant string) bool {
	return u.all.claims >= MaximumClaims || u.tenants[tenant].claims >= MaximumTenantClaims
}

// fitsBody reports whether a body of a tenant's outcome may be kept.
func (u *claimUses) fitsBody(tenant string, bytes int) bool {
	return bytes <= MaximumOutcomeBytes && u.all.outcomeBytes+bytes <= MaximumTotalOutcomeBytes &&
		u.tenants[tenant].outcomeBytes+bytes <= MaximumTenantOutcomeBytes
}

// add counts a claim in or, with sign -1, out.
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
