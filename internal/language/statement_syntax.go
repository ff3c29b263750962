package language

import (
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// statementSyntax is one query or command; exactly one field is set.
type statementSyntax struct {
	Show    *showSyntax    `parser:"  'show' @@"`
	Explain *subjectSyntax `parser:"| 'explain' @@"`
	History *subjectSyntax `parser:"| 'history' 'of' @@"`
	Drain   *nameSyntax    `parser:"| 'drain' 'engine' @@"`
	Resume  *nameSyntax    `parser:"| 'resume' 'engine' @@"`
	SetRole *roleSyntax    `parser:"| 'set' 'role' 'of' 'engine' @@"`
	Pin     *roleSyntax    `parser:"| 'pin' 'engine' @@"`
	Unpin   *nameSyntax    `parser:"| 'unpin' 'engine' @@"`
	Abort   *nameSyntax    `parser:"| 'abort' 'order' 'of' 'engine' @@"`
	Release *nameSyntax    `parser:"| 'release' 'request' @@"`
	Delete  *subjectSyntax `parser:"| 'delete' @@"`
	Add     *memberSyntax  `parser:"| 'add' 'member' @@"`
	Promote *nameSyntax    `parser:"| 'promote' 'member' @@"`
	Remove  *nameSyntax    `parser:"| 'remove' 'member' @@"`
	Replace *replaceSyntax `parser:"| 'replace' 'member' @@"`
	Dump    bool           `parser:"| @'dump' 'logs'"`
}

// showSyntax is what follows "show".
type showSyntax struct {
	Pos        lexer.Position
	Table      string             `parser:"@Word"`
	Of         *subjectSyntax     `parser:"('of' @@)?"`
	Conditions []*conditionSyntax `parser:"('where' @@ ('and' @@)*)?"`
	Order      *orderSyntax       `parser:"('order' 'by' @@)?"`
	Last       *scalarSyntax      `parser:"('last' @@)?"`
}

// conditionSyntax compares one column with a value.
type conditionSyntax struct {
	Pos      lexer.Position
	Column   string        `parser:"@Word"`
	Operator string        `parser:"@('=' | Comparison)"`
	Value    *scalarSyntax `parser:"@@"`
}

// orderSyntax sorts by one column.
type orderSyntax struct {
	Pos        lexer.Position
	Column     string `parser:"@Word"`
	Descending bool   `parser:"(@'descending' | 'ascending')?"`
}

// subjectSyntax names one engine or declared object.
type subjectSyntax struct {
	Pos  lexer.Position
	Type string      `parser:"@Word"`
	Name *nameSyntax `parser:"@@"`
}

// roleSyntax names an engine and a role.
type roleSyntax struct {
	Engine *nameSyntax   `parser:"@@ 'to'"`
	Role   *scalarSyntax `parser:"@@"`
}

// memberSyntax describes a controller of the quorum.
type memberSyntax struct {
	ID      *nameSyntax   `parser:"@@ 'at'"`
	Address *scalarSyntax `parser:"@@"`
	Zone    *nameSyntax   `parser:"('zone' @@)?"`
}

// replaceSyntax names a controller and its replacement.
type replaceSyntax struct {
	Old *nameSyntax   `parser:"@@ 'with'"`
	New *memberSyntax `parser:"@@"`
}

var statementParser = participle.MustBuild[statementSyntax](participle.Lexer(lexerDefinition), participle.Elide("Comment", "Whitespace"), participle.UseLookahead(0))

var (
	// grammarKeywordPattern matches a keyword in the text of a grammar.
	grammarKeywordPattern = regexp.MustCompile(`"([a-z]+)"`)

	// keywords lists the keywords of the statement grammar, in the grammar's order.
	keywords = distinctKeywords(grammarKeywordPattern.FindAllStringSubmatch(statementParser.String(), -1))

	// leadingKeywords lists the words that a statement may begin with.
	leadingKeywords = distinctKeywords(leadingKeywordPattern.FindAllStringSubmatch(firstProduction, -1))

	leadingKeywordPattern = regexp.MustCompile(`\("([a-z]+)"`)
	firstProduction, _, _ = strings.Cut(statementParser.String(), "\n")
)

func distinctKeywords(matches [][]string) []string {
	var words []string
	added := map[string]bool{}
	for _, match := range matches {
		if !added[match[1]] {
			added[match[1]] = true
			words = append(words, match[1])
		}
	}
	return words
}
