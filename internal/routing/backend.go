package routing

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// BackEnd is one back end as the gateway's directory knows it.
type BackEnd struct {
	Name    string
	Service string
	Zone    string
	Address string // IP:port
	// Incarnation grows each time the back end's process starts.
	Incarnation uint64
	State       enginecontract.ServiceState
	// Role is empty for a page service.
	Role     enginecontract.Role
	Model    string
	Version  string
	Adapters []string
	// ConfirmedAt is the last time a fresh source said that State holds.
	ConfirmedAt time.Duration
	// Unconfirmed tells that the directory says nothing of the state: what is known stays,
	// and a directory that still says the same does not confirm it.
	Unconfirmed bool
	// Load is the load as it was at LoadAt; it counts only when HasLoad is set.
	Load    Load
	LoadAt  time.Duration
	HasLoad bool
}

// Load is the work a back end has.
type Load struct {
	Running             int
	Waiting             int
	WaitingPromptTokens int64
}
