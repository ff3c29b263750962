package language

import (
	"math"
	"math/big"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// wholeShape is a whole number of some unit.
type wholeShape struct {
	what  string
	units []unit // nil for a plain number
	// unitRequired refuses a number without unit.
	unitRequired bool
}

var (
	durationShape = wholeShape{what: "a duration such as 2s or 300ms", units: durationUnits, unitRequired: true}
	sizeShape     = wholeShape{what: "a size such as 60GiB", units: sizeUnits, unitRequired: true}
	rateShape     = wholeShape{what: "a rate such as 20000 tokens/s", units: rateUnits, unitRequired: true}
	tokensShape   = wholeShape{what: "a number of tokens such as 6000 tokens", units: tokenUnits}
	requestsShape = wholeShape{what: "a number of requests such as 64 requests", units: requestUnits}
	enginesShape  = wholeShape{what: "a number of engines such as 2 engines", units: engineUnits}
	changesShape  = wholeShape{what: "a number of changes such as 6 changes", units: changeUnits}
	integerShape  = wholeShape{what: "a whole number"}
)

func (s wholeShape) describe() string { return s.what }

func (s wholeShape) parse(scalar *scalarSyntax, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	number, mistake := s.number(scalar)
	if mistake != nil {
		return protoreflect.Value{}, mistake
	}
	if !number.IsInt() {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not a whole number of the smallest unit: expected %s", scalar.source(), s.what)
	}
	return s.inRange(scalar, number.Num(), field)
}

// number reads the scalar in the smallest unit.
func (s wholeShape) number(scalar *scalarSyntax) (*big.Rat, *Error) {
	if scalar.Quantity == "" {
		return nil, errorAt(scalar.Pos, "%s is not a number: expected %s", scalar.source(), s.what)
	}
	digits, word := splitQuantity(scalar.Quantity)
	number, valid := new(big.Rat).SetString(digits)
	if !valid {
		return nil, errorAt(scalar.Pos, "%s is not a number: expected %s", scalar.source(), s.what)
	}
	if word == "" {
		if s.unitRequired && number.Sign() != 0 {
			return nil, errorAt(scalar.Pos, "%s lacks a unit: expected %s, with unit %s", digits, s.what, alternatives(unitWords(s.units)))
		}
		return number, nil
	}
	unit, known := findUnit(s.units, word)
	if !known {
		if len(s.units) == 0 {
			return nil, errorAt(scalar.Pos, "%s has a unit: expected %s without one", scalar.source(), s.what)
		}
		return nil, unknownWord(scalar.Pos, "unit", word, unitWords(s.units))
	}
	return number.Mul(number, new(big.Rat).SetInt64(unit.factor)), nil
}

// inRange gives the number as the type of the protobuf field.
func (s wholeShape) inRange(scalar *scalarSyntax, number *big.Int, field protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	outside := func(least, most string) (protoreflect.Value, *Error) {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is out of range: expected %s from %s to %s", scalar.source(), s.what, least, most)
	}
	switch field.Kind() {
	case protoreflect.Int32Kind:
		if !number.IsInt64() || number.Int64() < math.MinInt32 || number.Int64() > math.MaxInt32 {
			return outside(strconv.Itoa(math.MinInt32), strconv.Itoa(math.MaxInt32))
		}
		return protoreflect.ValueOfInt32(int32(number.Int64())), nil
	case protoreflect.Uint32Kind:
		if !number.IsUint64() || number.Uint64() > math.MaxUint32 {
			return outside("0", s.formatBig(big.NewInt(math.MaxUint32)))
		}
		return protoreflect.ValueOfUint32(uint32(number.Uint64())), nil
	default:
		if !number.IsUint64() {
			return outside("0", s.formatBig(new(big.Int).SetUint64(math.MaxUint64)))
		}
		return protoreflect.ValueOfUint64(number.Uint64()), nil
	}
}

func (s wholeShape) formatBig(number *big.Int) string {
	if len(s.units) == 0 {
		return number.String()
	}
	return formatWithUnit(number, s.units)
}

func (s wholeShape) format(value protoreflect.Value) string {
	switch number := value.Interface().(type) {
	case int32:
		return s.formatBig(big.NewInt(int64(number)))
	case uint32:
		return s.formatBig(new(big.Int).SetUint64(uint64(number)))
	default:
		return s.formatBig(new(big.Int).SetUint64(value.Uint()))
	}
}

func (s wholeShape) cell(value protoreflect.Value) Value {
	number, _ := new(big.Float).SetString(value.String())
	float, _ := number.Float64()
	return Value{Text: s.format(value), Number: float, Numeric: true}
}

// decimalShape is a number with a fraction, not negative.
type decimalShape struct{ what string }

// largestDecimal keeps sums of worth exact enough to compare.
const largestDecimal = 1e9

var (
	worthShape = decimalShape{what: "a number such as 2.5, from 0 to 1000000000"}
)

func (s decimalShape) describe() string { return s.what }

func (s decimalShape) parse(scalar *scalarSyntax, _ protoreflect.FieldDescriptor) (protoreflect.Value, *Error) {
	digits, word := splitQuantity(scalar.Quantity)
	number, err := strconv.ParseFloat(digits, 64)
	if scalar.Quantity == "" || word != "" || err != nil || number < 0 || number > largestDecimal {
		return protoreflect.Value{}, errorAt(scalar.Pos, "%s is not valid here: expected %s", scalar.source(), s.what)
	}
	// Adding zero turns a negative zero into zero.
	return protoreflect.ValueOfFloat64(number + 0), nil
}

func (s decimalShape) format(value protoreflect.Value) string {
	return strconv.FormatFloat(value.Float(), 'f', -1, 64)
}

func (s decimalShape) cell(value protoreflect.Value) Value { return NumberValue(value.Float()) }
