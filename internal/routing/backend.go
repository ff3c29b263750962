package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// BackEnd is one back end as listed in the gateway's directory.
type BackEnd struct {
	Name    string
	Service string
	Zone    string
	Address string // IP:port
	// Incarnation increases each time the back end's process starts.
	Incarnation uint64
	State       enginecontract.ServiceState
	// Role is empty for a page service.
	Role     enginecontract.Role
	Model    string
	Version  string
	Adapters []string
	// ConfirmedAt is the last time at which an up-to-date directory or the back end itself confirmed State.
	ConfirmedAt time.Duration
	// Unconfirmed is true if the directory does not know the state of the back end. State is then the last known
	// one, and Router.Confirm does not confirm it.
	Unconfirmed bool
	// Load is the load measured at LoadAt. It is valid only if HasLoad is set.
	Load    Load
	LoadAt  time.Duration
	HasLoad bool
}

// Load is the work at a back end, as the back end reported it.
type Load struct {
	Running             int
	Waiting             int
	WaitingPromptTokens int64
}
