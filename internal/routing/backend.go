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
	// ConfirmedAt is the last time at which a fresh source confirmed State.
	ConfirmedAt time.Duration
	// Unconfirmed is true if the directory does not know the state. The last known state is kept, and an
	// unchanged directory does not confirm it.
	Unconfirmed bool
	// Load is the load measured at LoadAt. It is valid only if HasLoad is set.
	Load    Load
	LoadAt  time.Duration
	HasLoad bool
}

// Load is the work at a back end.
type Load struct {
	Running             int
	Waiting             int
	WaitingPromptTokens int64
}
