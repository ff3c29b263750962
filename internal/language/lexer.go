package language

import (
	"regexp"
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Token names. A Quantity is a number with its unit, as one token, so that a unit
// is never taken for the word that follows a plain number.
const (
	tokenAddress  = "Address"
	tokenQuantity = "Quantity"
	tokenWord     = "Word"
	tokenString   = "String"
)

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Whitespace", Pattern: `[ \t\r\n]+`},
	{Name: tokenString, Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: tokenAddress, Pattern: `[A-Za-z0-9_.-]+:\d{1,5}`},
	{Name: tokenQuantity, Pattern: quantityPattern()},
	{Name: tokenWord, Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	{Name: "Comparison", Pattern: `!=|<=|>=|[<>~]`},
	{Name: "Punctuation", Pattern: `[{}\[\]=,;]`},
})

var (
	quantityRegexp = regexp.MustCompile(`^([-+]?\d+(?:\.\d+)?)[ \t]*(.*)$`)
	bareWord       = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
)

// quantityPattern matches a number followed by any word without a gap, or by a
// known unit with a gap on the same line.
func quantityPattern() string {
	words := unitWords(everyUnit())
	// Longer words first: the pattern takes the first alternative that matches.
	sort.Slice(words, func(i, j int) bool { return len(words[i]) > len(words[j]) })
	for i, word := range words {
		words[i] = regexp.QuoteMeta(word)
	}
	return `[-+]?\d+(\.\d+)?([A-Za-z%]+(/[A-Za-z]+)?|[ \t]+(` + strings.Join(words, "|") + `)\b)?`
}

// splitQuantity parts a Quantity token into its number and its unit.
func splitQuantity(token string) (number, unitWord string) {
	parts := quantityRegexp.FindStringSubmatch(token)
	if parts == nil {
		return token, ""
	}
	return parts[1], parts[2]
}
