package engineroles

import (
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func TestRolesRoundTrip(t *testing.T) {
	for number := range v1.Role_name {
		role := v1.Role(number)
		require.Equal(t, role, FromContract(ToContract(role)), role.String())
	}
	require.Equal(t, v1.Role_ROLE_UNSPECIFIED, FromContract(enginecontract.Role("unheard of")))
}
