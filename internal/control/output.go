package control

import (
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Output is one action for the runtime. Outputs must be carried out in order.
type Output interface{ isOutput() }

// Persist requests that the hard state, snapshot and entries be written and synced, with the
// snapshot before the entries as in the log. Persisted with the same batch number must follow.
// Batches are persisted in order; several may be synced together.
type Persist struct {
	Batch     uint64
	HardState *v1.HardState
	Entries   []*v1.Entry
	// Snapshot replaces everything up to its index.
	Snapshot *v1.Snapshot
}

// SendPeer sends a consensus message, which may be lost. The Core holds back messages that
// must not leave before a Persist, so this one may be sent at once.
type SendPeer struct {
	Address string
	Message *v1.ConsensusMessage
}

// Answer answers a pending call. Exactly one of Response and Err is set.
type Answer struct {
	Call     CallID
	Response proto.Message
	Err      error
}

// SendOrder sends an order to an engine; OrderAnswered follows, also when the answer is lost.
type SendOrder struct {
	Engine  string
	Address string
	Order   enginecontract.Order
}

// SendFence raises the fence at an engine; FenceAnswered follows, also when the answer is lost.
type SendFence struct {
	Engine  string
	Address string
	Epoch   uint64
}

// PollEngine requests the state and load of an engine; EngineStateReceived follows.
type PollEngine struct {
	Engine  string
	Address string
}

func (Persist) isOutput()    {}
func (SendPeer) isOutput()   {}
func (Answer) isOutput()     {}
func (SendOrder) isOutput()  {}
func (SendFence) isOutput()  {}
func (PollEngine) isOutput() {}

// DumpLogs tells the runtime to write out its log ring.
type DumpLogs struct{ Operator string }

func (DumpLogs) isOutput() {}
