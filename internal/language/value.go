package language

import "strconv"

// Value is a cell of a table or the right side of a Condition: a text, or a number in the column's base
// unit (milliseconds, bytes, tokens per second).
type Value struct {
	Text    string
	Number  float64
	Numeric bool
}

// TextValue returns a Value that holds text.
func TextValue(text string) Value { return Value{Text: text} }

// NumberValue returns a Value that holds a plain number.
func NumberValue(number float64) Value {
	return Value{Text: strconv.FormatFloat(number, 'f', -1, 64), Number: number, Numeric: true}
}
