// Package yamlfile reads YAML files into structs whose tags state the rules, and
// names file, line, key and cure of everything that is wrong with them.
//
// The struct tags are: `yaml`, the key; `default`, its value as YAML when the key is
// absent; `check`, the rules that rules.go defines. Every key of a file must be known.
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

// Source is one file and what to add to it.
type Source struct {
	// Path of the YAML file.
	Path string
	// Overrides are applied in order after the file.
	Overrides []Override
	// MissingKeyFix returns the cure of a required key that is absent; nil tells to
	// set it in the file.
	MissingKeyFix func(key string) string
	// CrossCheck reports keys that are right one by one and wrong together. It is
	// called when every key is known and of its type; single rules may be broken.
	CrossCheck func(*Document)
}

// Load fills the struct that target points to: file, overrides, defaults, rules.
// The error holds Problems when the file could be read and is at fault.
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
	for _, body := range bodies(file) {
		document.decode(body, value, "")
	}
	for _, override := range source.Overrides {
		document.override(override, value)
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

// bodies returns the roots of the file's documents that are not empty.
func bodies(file *ast.File) []ast.Node {
	var roots []ast.Node
	for _, document := range file.Docs {
		if document.Body != nil {
			roots = append(roots, document.Body)
		}
	}
	return roots
}

// placed is an error of the YAML library that knows where it is.
type placed interface {
	GetToken() *token.Token
	GetMessage() string
}

// syntaxProblem tells why a file is not YAML, and where.
func syntaxProblem(path string, err error) Problem {
	problem := Problem{
		Position: path, Key: "the file", Fault: "not valid YAML: " + err.Error(),
		Fix: "indent keys of one group alike, and quote text that holds a colon and a space",
	}
	var at placed
	if errors.As(err, &at) && at.GetToken() != nil {
		position := at.GetToken().Position
		problem.Position = fmt.Sprintf("%s:%d:%d", path, position.Line, position.Column)
		problem.Fault = "not valid YAML: " + at.GetMessage()
	}
	return problem
}
