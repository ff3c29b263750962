package simulation

import (
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// unusedWeight is a weight that no operator writes: a plan to change to it always shows the weight that is applied.
const unusedWeight = 999

// operation is one command of an operator: a write of a tenant's weight or, with
// weight zero, a read of it.
type operation struct {
	client int
	tenant string
	weight uint32
	// number is the requested change number; zero lets the controllers choose it.
	number   uint64
	calledAt time.Duration
	endedAt  time.Duration
	isEnded  bool
	result   operationResult
}

// operationResult is the response to a command.
type operationResult struct {
	// isLost is true if no response came: a write may have been applied at any time.
	isLost   bool
	outcome  v1.ApplyOutcome
	revision uint64
	number   uint64
	// weight is the weight that a read returned; zero if it returned none.
	weight uint32
}

// history records the commands of operators and their responses.
type history struct{ operations []*operation }

// begin records the call of a command.
func (h *history) begin(client int, now time.Duration, tenant string, weight uint32, number uint64) *operation {
	call := &operation{client: client, tenant: tenant, weight: weight, number: number, calledAt: now}
	h.operations = append(h.operations, call)
	return call
}

// recordApplied records the first response to a write.
func (h *history) recordApplied(call *operation, now time.Duration, response *v1.ApplyResponse) {
	if call == nil || call.isEnded {
		return
	}
	call.isEnded, call.endedAt = true, now
	call.result = operationResult{outcome: response.GetOutcome(), revision: response.GetRevision(), number: response.GetChangeNumber()}
}

// recordRead records the response to a read.
func (h *history) recordRead(call *operation, now time.Duration, response *v1.PlanResponse) {
	call.isEnded, call.endedAt = true, now
	call.result.revision = response.GetRevision()
	for _, difference := range response.GetDifferences() {
		if difference.GetKey().GetName() != call.tenant {
			continue
		}
		for _, field := range difference.GetFields() {
			if field.GetField() == "weight" && difference.GetType() == v1.DifferenceType_DIFFERENCE_TYPE_CHANGE {
				weight, _ := strconv.ParseUint(field.GetBefore(), 10, 32)
				call.result.weight = uint32(weight)
			}
		}
	}
}

// fleetValue is the sequential state that operators see: a revision, the highest change number in use, and the
// weights. Operators choose consecutive numbers, so that every number up to the highest is in use.
type fleetValue struct {
	revision uint64
	number   uint64
	weights  [tenants]uint32
}

// isLinearizable reports whether there is one sequential order of the commands that agrees with their times and
// responses.
func (h *history) isLinearizable(first fleetValue) bool {
	operations := make([]porcupine.Operation, 0, len(h.operations))
	for _, call := range h.operations {
		end := call.endedAt
		result := call.result
		if !call.isEnded {
			if call.weight == 0 {
				continue // a read without a response constrains nothing
			}
			end, result.isLost = time.Duration(1<<62), true
		}
		operations = append(operations, porcupine.Operation{
			ClientId: call.client, Input: call, Output: result, Call: int64(call.calledAt), Return: int64(end),
		})
	}
	return porcupine.CheckOperations(fleetModel(first), operations)
}

// fleetModel returns the sequential specification.
func fleetModel(first fleetValue) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			return stepModel(state.(fleetValue), input.(*operation), output.(operationResult))
		},
	}
}

// stepModel reports whether a response is possible in a state, and returns the state after it.
func stepModel(value fleetValue, call *operation, result operationResult) (bool, fleetValue) {
	tenant := tenantNumber(call.tenant)
	if call.weight == 0 {
		return result.revision == value.revision && result.weight == value.weights[tenant], value
	}
	written := value
	written.revision++
	written.number++
	written.weights[tenant] = call.weight
	isTaken := call.number != 0 && call.number <= value.number
	switch {
	case result.isLost && isTaken:
		return true, value
	case result.isLost:
		return true, written
	case result.outcome == v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		return !isTaken && result.revision == written.revision && result.number == written.number, written
	case result.outcome == v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN:
		return isTaken && result.revision == value.revision, value
	default:
		return false, value
	}
}

// tenantNumber returns the number in a tenant's name.
func tenantNumber(name string) int { return int(name[len(name)-1] - '0') }
