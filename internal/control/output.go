package control

import (
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Output is one thing the runtime has to do. Outputs are carried out in order.
type Output interface{ isOutput() }

// Persist asks to write and sync hard state, entries and snapshot, in that order
// of appearance in the log, and then to send Persisted with the same number.
// Batches are persisted in order; several may be synced together.
type Persist struct {
	Batch     uint64
	HardState *v1.HardState
	Entries   []*v1.Entry
	// Snapshot replaces everything up to its index.
	Snapshot *v1.Snapshot
}

// SendPeer sends a consensus message; it may be lost. The Core holds back every
// message that must not leave before a Persist, so it may be sent at once.
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

// SendOrder sends an order to an engine; OrderAnswered follows, or the loss of it.
type SendOrder struct {
	Engine  string
	Address string
	Order   enginecontract.Order
}

// SendFence raises the fence at an engine; FenceAnswered follows, or the loss of it.
type SendFence struct {
	Engine  string
	Address string
	Epoch   uint64
}

// PollEngine asks an engine for its state and load; EngineStateReceived follows.
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

// DumpLogs asks the runtime to write out its log ring.
type DumpLogs struct{ Operator string }

func (DumpLogs) isOutput() {}
