package authority

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Action is one thing the owner of a Commander has to do.
type Action interface{ isAction() }

// Propose asks to propose a command to the replicated log.
type Propose struct{ Command *v1.Command }

// SendOrder asks to send an order; OrderAnswered follows.
type SendOrder struct {
	Engine  string
	Address string
	Order   enginecontract.Order
}

// SendFence asks to raise the fence at an engine; FenceAnswered follows.
type SendFence struct {
	Engine  string
	Address string
	Epoch   uint64
}

func (Propose) isAction()   {}
func (SendOrder) isAction() {}
func (SendFence) isAction() {}
