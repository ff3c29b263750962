// Package engineroles converts engine roles between the external protocol (internal/enginecontract) and the internal
// one (api/hazelpitch/v1).
package engineroles

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// FromContract converts a role reported by an engine or the machine list. An unknown role becomes ROLE_UNSPECIFIED.
func FromContract(role enginecontract.Role) v1.Role {
	switch role {
	case enginecontract.RolePrefill:
		return v1.Role_ROLE_PREFILL
	case enginecontract.RoleDecode:
		return v1.Role_ROLE_DECODE
	case enginecontract.RoleMixed:
		return v1.Role_ROLE_MIXED
	default:
		return v1.Role_ROLE_UNSPECIFIED
	}
}

// ToContract converts a role for an engine. ROLE_UNSPECIFIED, which page services have, becomes the empty role.
func ToContract(role v1.Role) enginecontract.Role {
	switch role {
	case v1.Role_ROLE_PREFILL:
		return enginecontract.RolePrefill
	case v1.Role_ROLE_DECODE:
		return enginecontract.RoleDecode
	case v1.Role_ROLE_MIXED:
		return enginecontract.RoleMixed
	default:
		return ""
	}
}
