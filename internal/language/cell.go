package language

import (
	"math/big"
	"strings"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// timeLayout writes UTC with milliseconds. Texts in this layout sort in the order of their times.
const timeLayout = "2006-01-02T15:04:05.000Z"

// timeCell formats a time in milliseconds since the Unix epoch; 0 means unknown and gives an empty cell.
func timeCell(ms int64) Value { return TextValue(timeText(ms)) }

func timeText(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(timeLayout)
}

// quantityCell formats a number that is given in the smallest unit, which is the first of units.
func quantityCell(number int64, units []unit) Value {
	return Value{Text: formatWithUnit(big.NewInt(number), units), Number: float64(number), Numeric: true}
}

// elapsedCell is the time since the last message from a node. It is empty, and sorts below every number, when
// lastMessageAtMs is 0 (unknown).
func elapsedCell(nowMs, lastMessageAtMs int64) Value {
	if lastMessageAtMs == 0 {
		return Value{Numeric: true, Number: -1}
	}
	return quantityCell(max(0, nowMs-lastMessageAtMs), durationUnits)
}

func countCell[T uint32 | uint64 | int](count T) Value { return NumberValue(float64(count)) }

func booleanCell(value bool) Value {
	if value {
		return TextValue("true")
	}
	return TextValue("false")
}

// enumName turns BACK_END_STATE_SERVING into serving; the zero value gives "".
func enumName(name, prefix string) string {
	word := strings.ToLower(strings.TrimPrefix(name, prefix))
	if word == "unspecified" {
		return ""
	}
	return word
}

func stateName(state v1.BackEndState) string { return enumName(state.String(), "BACK_END_STATE_") }

func claimStateName(state v1.ClaimState) string { return enumName(state.String(), "CLAIM_STATE_") }

func outcomeName(outcome v1.OrderOutcome) string {
	if outcome == v1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		return "outstanding"
	}
	return enumName(outcome.String(), "ORDER_OUTCOME_")
}
