package language

import (
	"math"
	"math/big"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// wholeNumberCodec handles whole numbers, with or without a unit.
type wholeNumberCodec struct {
	description string
	units       []unit // nil for a plain number
	// unitRequired rejects a number other than 0 without a unit.
	unitRequired bool
}

var (
	durationCodec = wholeNumberCodec{description: "a duration such as 2s or 300ms", units: durationUnits, unitRequired: true}
	sizeCodec     = wholeNumberCodec{description: "a size such as 60GiB", units: sizeUnits, unitRequired: true}
	rateCodec     = wholeNumberCodec{description: "a rate such as 20000 tokens/s", units: rateUnits, unitRequired: true}
	tokensCodec   = wholeNumberCodec{description: "a number of tokens such as 6000 tokens", units: tokenUnits}
	requestsCodec = wholeNumberCodec{description: "a number of requests such as 64 requests", units: requestUnits}
	enginesCodec  = wholeNumberCodec{description: "a number of engines such as 2 engines", units: engineUnits}
	changesCodec  = wholeNumberCodec{description: "a number of changes such as 6 changes", units: changeUnits}
	integerCodec  = wholeNumberCodec{description: "a whole number"}
)

func (c wholeNumberCodec) describe() string { return c.description }

func (c wholeNumberCodec) parse(scalar *scalarSyntax, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	number, mistake := c.parseNumber(scalar)
	if mistake != nil {
		return protoreflect.Value{}, mistake
	}
	if !number.IsInt() {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not a whole number of the smallest unit: expected %s", scalar.source(), c.description)
	}
	return c.fieldValue(scalar, number.Num(), field)
}

// parseNumber returns the scalar's value in the smallest unit.
func (c wholeNumberCodec) parseNumber(scalar *scalarSyntax) (*big.Rat, *Error) {
	if scalar.Quantity == "" {
		return nil, errorAt(scalar.Pos, "%s is not a number: expected %s", scalar.source(), c.description)
	}
	digits, word := splitQuantity(scalar.Quantity)
	number, valid := new(big.Rat).SetString(digits)
	if !valid {
		return nil, errorAt(scalar.Pos, "%s is not a number: expected %s", scalar.source(), c.description)
	}
	if word == "" {
		if c.unitRequired && number.Sign() != 0 {
			return nil, errorAt(scalar.Pos, "%s lacks a unit: expected %s, with unit %s", digits, c.description, joinAlternatives(unitSymbols(c.units)))
		}
		return number, nil
	}
	unit, known := findUnit(c.units, word)
	if !known {
		if len(c.units) == 0 {
			return nil, errorAt(scalar.Pos, "%s has a unit: expected %s without one", scalar.source(), c.description)
		}
		return nil, unknownWordError(scalar.Pos, "unit", word, unitSymbols(c.units))
	}
	return number.Mul(number, new(big.Rat).SetInt64(unit.factor)), nil
}

// fieldValue converts the number to the type of the protobuf field, or reports that it is out of range.
func (c wholeNumberCodec) fieldValue(scalar *scalarSyntax, number *big.Int, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	outOfRange := func(least, most string) (protoreflect.Value, *Error) {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is out of range: expected %s from %s to %s", scalar.source(), c.description, least, most)
	}
	switch field.Kind() {
	case protoreflect.Int32Kind:
		if !number.IsInt64() || number.Int64() < math.MinInt32 || number.Int64() > math.MaxInt32 {
			return outOfRange(strconv.Itoa(math.MinInt32), strconv.Itoa(math.MaxInt32))
		}
		return protoreflect.ValueOfInt32(int32(number.Int64())), nil
	case protoreflect.Uint32Kind:
		if !number.IsUint64() || number.Uint64() > math.MaxUint32 {
			return outOfRange("0", c.formatBig(big.NewInt(math.MaxUint32)))
		}
		return protoreflect.ValueOfUint32(uint32(number.Uint64())), nil
	default:
		if !number.IsUint64() {
			return outOfRange("0", c.formatBig(new(big.Int).SetUint64(math.MaxUint64)))
		}
		return protoreflect.ValueOfUint64(number.Uint64()), nil
	}
}

func (c wholeNumberCodec) formatBig(number *big.Int) string {
	if len(c.units) == 0 {
		return number.String()
	}
	return formatWithUnit(number, c.units)
}

func (c wholeNumberCodec) format(value protoreflect.Value) string {
	switch number := value.Interface().(type) {
	case int32:
		return c.formatBig(big.NewInt(int64(number)))
	case uint32:
		return c.formatBig(new(big.Int).SetUint64(uint64(number)))
	default:
		return c.formatBig(new(big.Int).SetUint64(value.Uint()))
	}
}

func (c wholeNumberCodec) cell(value protoreflect.Value) Value {
	number, _ := new(big.Float).SetString(value.String())
	float, _ := number.Float64()
	return Value{Text: c.format(value), Number: float, Numeric: true}
}

// decimalCodec handles non-negative numbers with a fraction.
type decimalCodec struct{ description string }

// maximumDecimal is low enough that sums of worth stay exact enough to compare.
const maximumDecimal = 1e9

var (
	worthCodec = decimalCodec{description: "a number such as 2.5, from 0 to 1000000000"}
)

func (c decimalCodec) describe() string { return c.description }

func (c decimalCodec) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	digits, word := splitQuantity(scalar.Quantity)
	number, err := strconv.ParseFloat(digits, 64)
	if scalar.Quantity == "" || word != "" || err != nil || number < 0 || number > maximumDecimal {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not valid here: expected %s", scalar.source(), c.description)
	}
	// Adding zero turns a negative zero into zero.
	return protoreflect.ValueOfFloat64(number + 0), nil
}

func (c decimalCodec) format(value protoreflect.Value) string {
	return strconv.FormatFloat(value.Float(), 'f', -1, 64)
}

func (c decimalCodec) cell(value protoreflect.Value) Value { return NumberValue(value.Float()) }
