package language

import (
	"math/big"
	"strings"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// timeLayout is UTC with milliseconds; texts in it sort as the times do.
const timeLayout = "2006-01-02T15:04:05.000Z"

// timeCell writes a time in milliseconds since the Unix epoch; 0 is unknown.
func timeCell(ms int64) Value { return TextValue(timeText(ms)) }

func timeText(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(timeLayout)
}

// quantityCell writes a number in the first of units.
func quantityCell(number int64, units []unit) Value {
	return Value{Text: formatWithUnit(big.NewInt(number), units), Number: float64(number), Numeric: true}
}

// silenceCell is the time since a node was heard; unknown for 0.
func silenceCell(nowMs, heardAtMs int64) Value {
	if heardAtMs == 0 {
		return Value{Numeric: true, Number: -1}
	}
	return quantityCell(max(0, nowMs-heardAtMs), durationUnits)
}

func countCell[T uint32 | uint64 | int](count T) Value { return NumberValue(float64(count)) }

func booleanCell(value bool) Value {
	if value {
		return TextValue("true")
	}
	return TextValue("false")
}

// enumWord turns BACK_END_STATE_SERVING into serving; the zero value gives "".
func enumWord(name, prefix string) string {
	word := strings.ToLower(strings.TrimPrefix(name, prefix))
	if word == "unspecified" {
		return ""
	}
	return word
}

func stateWord(state v1.BackEndState) string { return enumWord(state.String(), "BACK_END_STATE_") }

func claimWord(state v1.ClaimState) string { return enumWord(state.String(), "CLAIM_STATE_") }

func outcomeWord(outcome v1.OrderOutcome) string {
	if outcome == v1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		return "outstanding"
	}
	return enumWord(outcome.String(), "ORDER_OUTCOME_")
}
