package language

import (
	"regexp"
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Token names. A Quantity includes its unit, so that a unit is never mistaken for the word that follows
// a plain number.
const (
	tokenAddress  = "Address"
	tokenQuantity = "Quantity"
	tokenWord     = "Word"
	tokenString   = "String"
)

var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
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
	quantityTokenPattern = regexp.MustCompile(`^([-+]?\d+(?:\.\d+)?)[ \t]*(.*)$`)
	bareWordPattern      = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
)

// quantityPattern matches a number followed directly by any word, or after blanks on the same line by a
// known unit.
func quantityPattern() string {
	words := unitSymbols(allUnits())
	// Longer units first: the pattern matches the first alternative that fits.
	sort.Slice(words, func(i, j int) bool { return len(words[i]) > len(words[j]) })
	for i, word := range words {
		words[i] = regexp.QuoteMeta(word)
	}
	return `[-+]?\d+(\.\d+)?([A-Za-z%]+(/[A-Za-z]+)?|[ \t]+(` + strings.Join(words, "|") + `)\b)?`
}

// splitQuantity splits a Quantity token into its number and its unit.
func splitQuantity(token string) (number, unitWord string) {
	parts := quantityTokenPattern.FindStringSubmatch(token)
	if parts == nil {
		return token, ""
	}
	return parts[1], parts[2]
}
