package language

import "math/big"

// unit is a symbol after a number and the factor by which it multiplies the number.
type unit struct {
	symbol string
	factor int64
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
	tebibyte = 1 << 40

	millisecondsPerSecond = 1_000
	millisecondsPerMinute = 60_000
	millisecondsPerHour   = 3_600_000
)

// The units of each measure, from the smallest to the largest. Stored records use the first one.
var (
	durationUnits = []unit{
		{"ms", 1},
		{"s", millisecondsPerSecond},
		{"min", millisecondsPerMinute},
		{"h", millisecondsPerHour},
	}
	sizeUnits = []unit{
		{"B", 1},
		{"KiB", kibibyte},
		{"MiB", mebibyte},
		{"GiB", gibibyte},
		{"TiB", tebibyte},
	}
	rateUnits    = []unit{{"tokens/s", 1}}
	tokenUnits   = []unit{{"tokens", 1}}
	requestUnits = []unit{{"requests", 1}}
	engineUnits  = []unit{{"engines", 1}}
	changeUnits  = []unit{{"changes", 1}}
)

// allUnits lists all units, for the lexer and the reference page.
func allUnits() []unit {
	var all []unit
	for _, units := range [][]unit{durationUnits, sizeUnits, rateUnits, tokenUnits, requestUnits, engineUnits, changeUnits} {
		all = append(all, units...)
	}
	return all
}

func unitSymbols(units []unit) []string {
	words := make([]string, len(units))
	for i, unit := range units {
		words[i] = unit.symbol
	}
	return words
}

func findUnit(units []unit, word string) (unit, bool) {
	for _, candidate := range units {
		if candidate.symbol == word {
			return candidate, true
		}
	}
	return unit{}, false
}

// formatWithUnit writes a whole number with the largest unit that divides it.
func formatWithUnit(number *big.Int, units []unit) string {
	chosen := units[0]
	if number.Sign() != 0 {
		for _, candidate := range units[1:] {
			if new(big.Int).Rem(number, big.NewInt(candidate.factor)).Sign() == 0 {
				chosen = candidate
			}
		}
	}
	quotient := new(big.Int).Quo(number, big.NewInt(chosen.factor))
	return quotient.String() + unitSeparator(units) + chosen.symbol
}

// unitSeparator is empty for units that follow the number directly, as in 2s.
func unitSeparator(units []unit) string {
	if len(units) > 1 {
		return ""
	}
	return " "
}
