package settings

import (
	"os"
	"reflect"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/gravitational/trace"
)

// Source says where the settings of one process come from.
type Source struct {
	// Path of the YAML file.
	Path string
	// Overrides are applied in order after the file.
	Overrides []Override
}

// LoadController reads and checks the settings of a controller. The error holds
// Problems when the file could be read and is at fault.
func LoadController(source Source) (Controller, error) {
	var controller Controller
	err := load(source, &controller)
	return controller, trace.Wrap(err)
}

// LoadGateway reads and checks the settings of a gateway. The error holds
// Problems when the file could be read and is at fault.
func LoadGateway(source Source) (Gateway, error) {
	var gateway Gateway
	err := load(source, &gateway)
	return gateway, trace.Wrap(err)
}

// load fills the struct that target points to: file, overrides, defaults, rules.
func load(source Source, target any) error {
	text, err := os.ReadFile(source.Path)
	if err != nil {
		return trace.BadParameter("cannot read the settings file: %v; give its path with --settings", err)
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return trace.BadParameter("%s: not valid YAML: %v", source.Path, err)
	}
	document := newDocument(source.Path)
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
		document.checkTogether(target)
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
