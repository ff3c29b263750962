package membership

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// description is the input that a machine's digest was last computed from. States are replaced and
// never modified, so comparing the pointer is enough.
type description struct {
	state       v1.BackEndState
	row         enginecontract.Machine
	engineState *enginecontract.EngineState
	digest      uint64
}

// descriptionDigest returns a digest of what gateways receive about a machine, except its load. All
// controllers compute the same digest.
func (m *Machine) descriptionDigest(state v1.BackEndState) uint64 {
	cached := &m.cachedDescription
	if cached.digest != 0 && cached.state == state && cached.engineState == m.State && cached.row == m.Row {
		return cached.digest
	}
	*cached = description{state: state, row: m.Row, engineState: m.State}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.backEnd(state))
	if err != nil {
		data = []byte(m.Row.Name) // names that are not valid UTF-8 are rejected earlier
	}
	cached.digest = max(xxhash.Sum64(data), 1)
	return cached.digest
}

// backEnd returns the description of a machine for gateways, without its load.
func (m *Machine) backEnd(state v1.BackEndState) *v1.BackEnd {
	backEnd := &v1.BackEnd{
		Name: m.Row.Name, Service: m.Row.Service, Zone: m.Row.Zone, Address: m.Row.Address, State: state,
	}
	if engine := m.State; engine != nil {
		backEnd.Role = engineroles.FromContract(engine.Role)
		backEnd.Model = engine.Model
		backEnd.Version = engine.Version
		backEnd.Adapters = engine.Adapters
		backEnd.Incarnation = engine.Incarnation
	}
	return backEnd
}
