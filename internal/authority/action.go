package authority

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Action is an instruction to the owner of a Commander.
type Action interface{ isAction() }

// Propose instructs the owner to propose a command to the replicated log.
type Propose struct{ Command *v1.Command }

// SendOrder instructs the owner to send an order and to call RecordOrderAnswer with the result.
type SendOrder struct {
	Engine  string
	Address string
	Order   enginecontract.Order
}

// SendFence instructs the owner to send a fence to an engine and to call RecordFenceAnswer with the
// result.
type SendFence struct {
	Engine  string
	Address string
	Epoch   uint64
}

func (Propose) isAction()   {}
func (SendOrder) isAction() {}
func (SendFence) isAction() {}
