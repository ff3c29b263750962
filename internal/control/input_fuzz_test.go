package control

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Kinds of input that a controller receives from outside.
const (
	fuzzSync = iota
	fuzzReport
	fuzzBeginClaim
	fuzzFinishClaim
	fuzzMachineList
	fuzzEngineState
	fuzzOrderAnswer
	fuzzKinds
)

// fuzzInput decodes bytes as the runtime does, and returns nil when the runtime would refuse them.
func fuzzInput(kind uint8, data []byte) Input {
	message := func(into proto.Message) bool { return proto.Unmarshal(data, into) == nil }
	switch kind % fuzzKinds {
	case fuzzSync:
		if request := new(v1.SyncRequest); message(request) {
			return SyncReceived{Call: 1, Request: request}
		}
	case fuzzReport:
		if request := new(v1.ReportRequest); message(request) {
			return ReportReceived{Call: 1, Request: request}
		}
	case fuzzBeginClaim:
		if request := new(v1.BeginClaimRequest); message(request) {
			return BeginClaimReceived{Call: 1, Request: request}
		}
	case fuzzFinishClaim:
		if request := new(v1.FinishClaimRequest); message(request) {
			return FinishClaimReceived{Call: 1, Request: request}
		}
	case fuzzMachineList:
		var list enginecontract.MachineList
		if json.Unmarshal(data, &list) == nil {
			return MachineListReceived{List: list}
		}
	case fuzzEngineState:
		state := new(enginecontract.EngineState)
		if json.Unmarshal(data, state) == nil {
			return EngineStateReceived{Engine: "engine-1", State: state, Load: new(enginecontract.LoadReport)}
		}
	case fuzzOrderAnswer:
		answer := new(enginecontract.OrderAnswer)
		if json.Unmarshal(data, answer) == nil {
			return OrderAnswered{Engine: "engine-1", Fence: answer.State.OrderFence, Answer: answer}
		}
	}
	return nil
}

// FuzzInputs passes arbitrary bytes of gateways, engines and the platform to a leading controller.
// The controller must still accept a declaration afterwards.
func FuzzInputs(f *testing.F) {
	f.Add(uint8(fuzzMachineList), []byte(`{"version":9,"machines":[{"name":"engine-2","service":"assessor","address":"x","state":"leaving"}]}`))
	f.Add(uint8(fuzzEngineState), []byte(`{"engine":"engine-1","incarnation":2,"state":"serving","role":"decode"}`))
	f.Add(uint8(fuzzOrderAnswer), []byte(`{"accepted":true,"state":{"engine":"engine-1","highest_fence":{"epoch":9}}}`))
	sync, err := proto.Marshal(&v1.SyncRequest{Node: &v1.NodeIdentity{Name: "g", Zone: "zone-a"}, Revision: 9, UnknownKeyHashes: []string{"ab"}})
	require.NoError(f, err)
	f.Add(uint8(fuzzSync), sync)
	claim, err := proto.Marshal(&v1.BeginClaimRequest{Claim: &v1.BeginClaim{Tenant: "t", Kind: "k", Key: "x", Attempt: "1"}})
	require.NoError(f, err)
	f.Add(uint8(fuzzBeginClaim), claim)
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		input := fuzzInput(kind, data)
		if input == nil {
			return
		}
		w := newTestCluster(t, 1, nil)
		w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
		w.apply("before", serviceObjects()...)
		w.run(2 * time.Second)
		w.step(w.leader(), input)
		w.run(time.Second)
		require.Equal(t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, w.apply("after", tenantObject("tenant-9", strings.Repeat("ab", 32))).Outcome)
	})
}
