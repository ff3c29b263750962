// Package yamlfile reads YAML files into structs whose tags define the rules. For each problem it
// reports file, line, key, and how to fix it.
//
// The struct tags are: `yaml`, the key; `default`, the value as YAML of an absent key; `check`, names of
// rules that rules.go defines. A key that no tag names is a problem.
package yamlfile

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/gravitational/trace"
)

// Source is one file and how to load it.
type Source struct {
	// Path of the YAML file.
	Path string
	// Overrides are applied after the file, in order.
	Overrides []Override
	// MissingKeyFix returns how to fix a required key that is absent; when it is nil, the fix is to set the
	// key.
	MissingKeyFix func(key string) string
	// CrossCheck reports combinations of keys that are invalid together. It is called once all keys are
	// known and have their types, even if rules of single keys are broken.
	CrossCheck func(*Document)
}

// Load fills the struct that target points to from the file, the overrides and the defaults, and checks
// the rules. If the file could be read but is invalid, the error contains Problems.
func Load(source Source, target any) error {
	text, err := os.ReadFile(source.Path)
	if err != nil {
		return trace.BadParameter("cannot read the file: %v", err)
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return trace.Wrap(Problems{syntaxProblem(source.Path, err)})
	}
	document := newDocument(source)
	value := reflect.ValueOf(target).Elem()
	for _, body := range documentRoots(file) {
		document.decode(body, value, "")
	}
	for _, override := range source.Overrides {
		document.applyOverride(override, value)
	}
	if len(document.problems) == 0 {
		document.applyDefaults(value, "")
		document.checkRules(value, "")
		if source.CrossCheck != nil {
			source.CrossCheck(document)
		}
	}
	if len(document.problems) > 0 {
		return trace.Wrap(document.problems)
	}
	return nil
}

// documentRoots returns the root nodes of the file's documents, without empty documents.
func documentRoots(file *ast.File) []ast.Node {
	var roots []ast.Node
	for _, document := range file.Docs {
		if document.Body != nil {
			roots = append(roots, document.Body)
		}
	}
	return roots
}

// positionedError is an error of the YAML library with a position.
type positionedError interface {
	GetToken() *token.Token
	GetMessage() string
}

// syntaxProblem describes why a file is not valid YAML, and where.
func syntaxProblem(path string, err error) Problem {
	problem := Problem{
		Position: path, Key: "the file", Fault: "not valid YAML: " + err.Error(),
		Fix: "indent keys of one group alike, and quote text that holds a colon and a space",
	}
	var positioned positionedError
	if errors.As(err, &positioned) && positioned.GetToken() != nil {
		position := positioned.GetToken().Position
		problem.Position = fmt.Sprintf("%s:%d:%d", path, position.Line, position.Column)
		problem.Fault = "not valid YAML: " + positioned.GetMessage()
	}
	return problem
}
