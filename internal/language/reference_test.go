package language

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

var update = flag.Bool("update", false, "write the generated parts of docs/LANGUAGE.md")

var (
	referencePath = filepath.Join("..", "..", "docs", "LANGUAGE.md")
	generatedPart = regexp.MustCompile(`(?s)<!-- generated: (\w+) -->\n.*?<!-- end -->`)
	examplePart   = regexp.MustCompile("(?s)```(hzl|query|command)\n(.*?)```")
)

// TestReferenceMatchesGrammar checks docs/LANGUAGE.md against the tables and the grammar.
func TestReferenceMatchesGrammar(t *testing.T) {
	page, err := os.ReadFile(referencePath)
	require.NoError(t, err)
	generators := map[string]func() string{
		"units": unitReference, "declarations": declarationReference, "tables": tableReference,
		"statements": statementReference, "grammar": grammarReference,
	}
	replaced := 0
	wanted := generatedPart.ReplaceAllStringFunc(string(page), func(part string) string {
		name := generatedPart.FindStringSubmatch(part)[1]
		require.Contains(t, generators, name)
		replaced++
		return "<!-- generated: " + name + " -->\n" + generators[name]() + "<!-- end -->"
	})
	require.Equal(t, len(generators), replaced)
	if *update {
		require.NoError(t, os.WriteFile(referencePath, []byte(wanted), 0o644))
		return
	}
	require.Equal(t, wanted, string(page), "run: go test ./internal/language -run Reference -update")
}

// TestReferenceExamplesParse parses every example of the reference page, and checks that there is one
// for each statement and each type of declaration.
func TestReferenceExamplesParse(t *testing.T) {
	page, err := os.ReadFile(referencePath)
	require.NoError(t, err)
	covered := map[string]bool{}
	for _, part := range examplePart.FindAllStringSubmatch(string(page), -1) {
		if part[1] == "hzl" {
			objects, err := CheckFiles([]*v1.SourceFile{{Name: referencePath, Text: part[2]}})
			require.NoError(t, err)
			for _, object := range objects {
				covered[TypeName(object.GetKey().GetType())] = true
			}
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(part[2]), "\n") {
			statement, err := ParseStatement(line)
			require.NoError(t, err)
			_, isQuery := statement.(Query)
			require.Equal(t, part[1] == "query", isQuery, line)
			covered[strings.Fields(line)[0]] = true
		}
	}
	for _, word := range append(leadingKeywords, schemaKeywords()...) {
		require.True(t, covered[word] || word == "operator", "no example of %s", word)
	}
}

func unitReference() string {
	var text strings.Builder
	text.WriteString("| of | units |\n| --- | --- |\n")
	for _, row := range []struct {
		what  string
		units []unit
	}{{"durations", durationUnits}, {"sizes", sizeUnits}, {"rates", rateUnits}, {"counts", append(append(append(append([]unit{}, tokenUnits...), requestUnits...), engineUnits...), changeUnits...)}} {
		fmt.Fprintf(&text, "| %s | `%s` |\n", row.what, strings.Join(unitSymbols(row.units), "`, `"))
	}
	return text.String()
}

func declarationReference() string {
	var text strings.Builder
	for _, schema := range schemas {
		fmt.Fprintf(&text, "### %s\n\n%s\n\n| field | value | when not given | meaning |\n| --- | --- | --- | --- |\n", schema.keyword, schema.purpose)
		for _, field := range schema.fields {
			value := field.codec.describe()
			if field.proto.IsList() {
				value = "list of " + value
			}
			fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", field.name, value, defaultText(schema, field), field.purpose)
		}
		text.WriteString("\n")
	}
	return text.String()
}

// defaultText returns the default value of a field.
func defaultText(schema *objectSchema, field *fieldSchema) string {
	if field.required {
		return "required"
	}
	message := schema.message(&v1.Object{}, true)
	field.setDefault(message)
	if standard := field.format(message); standard != "" && standard != `""` {
		return "`" + standard + "`"
	}
	return "none"
}

func tableReference() string {
	var text strings.Builder
	text.WriteString("| table | lists | `of` | columns |\n| --- | --- | --- | --- |\n")
	for _, table := range tables {
		fmt.Fprintf(&text, "| `%s` | %s | %s | `%s` |\n", table.name, table.purpose, strings.Join(table.ofTypes, ", "), strings.Join(table.columnNames(), "`, `"))
	}
	text.WriteString("\n| column | table | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, table := range tables[len(schemas):] {
		for _, column := range table.columns {
			unit := ""
			if len(column.units) > 0 {
				unit = column.units[0].symbol
			}
			fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", column.name, table.name, unit, column.purpose)
		}
	}
	return text.String()
}

func statementReference() string {
	statements := []struct {
		beginning string
		statement Statement
	}{
		{"show", Show{}}, {"explain", Explain{}}, {"history", History{}}, {"drain", DrainEngine{}}, {"resume", ResumeEngine{}},
		{"set", SetEngineRole{}}, {"pin", PinEngine{}}, {"unpin", UnpinEngine{}}, {"abort", AbortOrder{}}, {"release", ReleaseRequest{}}, {"delete", DeleteObject{}},
		{"add", AddMember{}}, {"promote", PromoteMember{}}, {"remove", RemoveMember{}}, {"replace", ReplaceMember{}}, {"dump", DumpLogs{}},
	}
	var text strings.Builder
	text.WriteString("| statement | lowest role that may run it |\n| --- | --- |\n")
	for _, row := range statements {
		fmt.Fprintf(&text, "| `%s` | %s |\n", row.beginning, OperatorRoleName(row.statement.RequiredRole()))
	}
	fmt.Fprintf(&text, "| applying declarations | %s |\n", OperatorRoleName(RequiredRoleToApply(nil, false)))
	fmt.Fprintf(&text, "| applying declarations of operators, or with `--prune` | %s |\n", OperatorRoleName(RequiredRoleToApply(nil, true)))
	return text.String()
}

func grammarReference() string {
	both := fileParser.String() + "\n" + statementParser.String()
	var lines []string
	listed := map[string]bool{}
	for _, line := range strings.Split(strings.ReplaceAll(both, "Syntax", ""), "\n") {
		if !listed[line] {
			listed[line] = true
			lines = append(lines, "    "+line)
		}
	}
	return strings.Join(lines, "\n") + "\n"
}
