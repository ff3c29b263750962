package previousplanner

import "github.com/hazelpitch/hazelpitch/internal/enginecontract"

// roles lists the roles in a fixed order, so that iteration is deterministic.
var roles = []enginecontract.Role{
	enginecontract.RolePrefill,
	enginecontract.RoleDecode,
	enginecontract.RoleMixed,
}
