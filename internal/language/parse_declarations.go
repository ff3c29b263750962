package language

import (
	"sort"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// MaximumFileBytes is the size of the largest declaration file that is parsed.
	MaximumFileBytes = 8 << 20
	// MaximumStatementBytes is the length of the longest query or command that is parsed.
	MaximumStatementBytes = 8 << 10
)

// ParseDeclarations parses declaration files as one set. It returns the objects sorted by type and then
// by name, or all mistakes as an Errors inside a trace.BadParameter error. It does not check references
// between objects: see CheckReferences.
func ParseDeclarations(files []*v1.SourceFile) ([]*v1.Object, error) {
	declarations, err := parseFiles(files)
	if err != nil {
		return nil, err
	}
	return sortedObjects(declarations), nil
}

// CheckFiles parses like ParseDeclarations and also checks the references between the objects, as if
// the files were the whole configuration. Mistakes in references have their position in the files.
func CheckFiles(files []*v1.SourceFile) ([]*v1.Object, error) {
	declarations, err := parseFiles(files)
	if err != nil {
		return nil, err
	}
	objects := sortedObjects(declarations)
	places := map[string]*declaration{}
	for _, declaration := range declarations {
		places[FormatKey(declaration.object.GetKey())] = declaration
	}
	var mistakes Errors
	for _, fault := range findReferenceFaults(objects) {
		declaration := places[FormatKey(fault.Key)]
		mistake := errorAt(declaration.positionOf(fault.Field), "%s", fault.Message)
		mistake.Suggestion = fault.Suggestion
		mistakes = append(mistakes, mistake)
	}
	if err := mistakes.sorted(); err != nil {
		return nil, trace.Wrap(err)
	}
	return objects, nil
}

func sortedObjects(declarations []*declaration) []*v1.Object {
	objects := make([]*v1.Object, len(declarations))
	for i, declaration := range declarations {
		objects[i] = declaration.object
	}
	SortObjects(objects)
	return objects
}

// SortObjects sorts objects by type and then by name, in place.
func SortObjects(objects []*v1.Object) {
	sort.SliceStable(objects, func(i, j int) bool { return keyLess(objects[i].GetKey(), objects[j].GetKey()) })
}

func keyLess(a, b *v1.ObjectKey) bool {
	if a.GetType() != b.GetType() {
		return a.GetType() < b.GetType()
	}
	return a.GetName() < b.GetName()
}

func parseFiles(files []*v1.SourceFile) ([]*declaration, error) {
	var mistakes Errors
	var declarations []*declaration
	first := map[string]*declaration{}
	for _, file := range files {
		parsed, fileMistakes := parseFile(file)
		mistakes = append(mistakes, fileMistakes...)
		for _, declaration := range parsed {
			key := FormatKey(declaration.object.GetKey())
			if earlier, twice := first[key]; twice {
				mistakes = append(mistakes, errorAt(declaration.position, "%s is declared twice: first at %s", key, earlier.position))
				continue
			}
			first[key] = declaration
			declarations = append(declarations, declaration)
		}
	}
	if err := mistakes.sorted(); err != nil {
		return nil, trace.Wrap(err)
	}
	return declarations, nil
}

func parseFile(file *v1.SourceFile) ([]*declaration, Errors) {
	if len(file.GetText()) > MaximumFileBytes {
		return nil, Errors{errorAt(lexer.Position{Filename: file.GetName(), Line: 1, Column: 1}, "the file is larger than %d bytes: split it", MaximumFileBytes)}
	}
	syntax, err := fileParser.ParseString(file.GetName(), file.GetText())
	if err != nil {
		return nil, Errors{convertSyntaxError(err, schemaKeywords(), schemaKeywords())}
	}
	var mistakes Errors
	var declarations []*declaration
	for _, block := range syntax.Blocks {
		declaration, blockMistakes := parseBlock(block)
		mistakes = append(mistakes, blockMistakes...)
		if declaration != nil {
			declarations = append(declarations, declaration)
		}
	}
	return declarations, mistakes
}

// parseBlock parses one declared object. The declaration is nil when its type or name is invalid.
func parseBlock(block *blockSyntax) (*declaration, Errors) {
	schema := schemaByKeyword(block.Type)
	if schema == nil {
		return nil, Errors{unknownWordError(block.Pos, "declaration", block.Type, schemaKeywords())}
	}
	name, mistake := block.Name.validated()
	if mistake != nil {
		return nil, Errors{mistake}
	}
	result := &declaration{
		object:   &v1.Object{Key: &v1.ObjectKey{Type: schema.objectType, Name: name}},
		schema:   schema,
		position: block.Pos,
		fields:   map[string]lexer.Position{},
	}
	message := schema.message(result.object, true)
	if schema.nameField != nil {
		message.Set(schema.nameField, protoreflect.ValueOfString(name))
	}
	return result, parseFields(result, message, block.Settings)
}

func parseFields(result *declaration, message protoreflect.Message, settings []*settingSyntax) Errors {
	var mistakes Errors
	for _, setting := range settings {
		field := result.schema.field(setting.Field)
		if field == nil {
			mistakes = append(mistakes, unknownWordError(setting.Pos, "field of "+result.schema.keyword, setting.Field, result.schema.fieldNames()))
			continue
		}
		if earlier, twice := result.fields[field.name]; twice {
			mistakes = append(mistakes, errorAt(setting.Pos, "%s is given twice: first at line %d", field.name, earlier.Line))
			continue
		}
		result.fields[field.name] = setting.Value.Pos
		if mistake := field.parseInto(message, setting.Value); mistake != nil {
			mistakes = append(mistakes, mistake)
		}
	}
	return append(mistakes, applyDefaults(result, message)...)
}

// applyDefaults sets the default values of fields that were not given, and reports missing required ones.
func applyDefaults(result *declaration, message protoreflect.Message) Errors {
	var mistakes Errors
	for _, field := range result.schema.fields {
		if _, given := result.fields[field.name]; given {
			continue
		}
		if field.required {
			mistakes = append(mistakes, errorAt(result.position, "%s lacks %s: expected %s = %s", FormatKey(result.object.GetKey()), field.name, field.name, field.codec.describe()))
			continue
		}
		field.setDefault(message)
	}
	return mistakes
}
