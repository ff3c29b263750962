package membership

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// description is what a machine's digest was last made of. Readings are replaced, never
// changed, so that the same reading gives the same digest.
type description struct {
	state  v1.BackEndState
	row    enginecontract.Machine
	own    *enginecontract.EngineState
	digest uint64
}

// describe returns the digest of what gateways are told of a machine, its load apart.
// It is equal at every controller.
func (m *Machine) describe(state v1.BackEndState) uint64 {
	last := &m.described
	if last.digest != 0 && last.state == state && last.own == m.State && last.row == m.Row {
		return last.digest
	}
	*last = description{state: state, row: m.Row, own: m.State}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.backEnd(state))
	if err != nil {
		data = []byte(m.Row.Name) // names that are not UTF-8 never get this far
	}
	last.digest = max(xxhash.Sum64(data), 1)
	return last.digest
}

// backEnd describes a machine to gateways, without its load.
func (m *Machine) backEnd(state v1.BackEndState) *v1.BackEnd {
	backEnd := &v1.BackEnd{
		Name: m.Row.Name, Service: m.Row.Service, Zone: m.Row.Zone, Address: m.Row.Address, State: state,
	}
	if own := m.State; own != nil {
		backEnd.Role = engineroles.FromContract(own.Role)
		backEnd.Model = own.Model
		backEnd.Version = own.Version
		backEnd.Adapters = own.Adapters
		backEnd.Incarnation = own.Incarnation
	}
	return backEnd
}
