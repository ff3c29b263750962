package yamlfile

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/hazelpitch/hazelpitch/internal/nearest"
)

var durationType = reflect.TypeFor[time.Duration]()

// Document is a parsed YAML file: it records the position of each key that was set, and all problems.
type Document struct {
	source Source
	// positions maps the dotted path of each key that was set to its position.
	positions map[string]string
	problems  Problems
}

func newDocument(source Source) *Document {
	return &Document{source: source, positions: map[string]string{"": source.Path + ":1:1"}}
}

// IsSet reports whether the file, an override or a default set the key.
func (d *Document) IsSet(key string) bool {
	_, set := d.positions[key]
	return set
}

// decode checks a YAML node against the type of the value and stores it in the value.
func (d *Document) decode(node ast.Node, value reflect.Value, key string) {
	if key != "" {
		d.positions[key] = d.positionOf(node)
	}
	if _, null := node.(*ast.NullNode); null {
		d.Report(key, "has no value", "write a value or remove the key")
		return
	}
	switch {
	case value.Type() == durationType:
		d.decodeDuration(node, value, key)
	case value.Kind() == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		d.decode(node, value.Elem(), key)
	case value.Kind() == reflect.Struct:
		d.decodeStruct(node, value, key)
	case value.Kind() == reflect.Slice:
		d.decodeSlice(node, value, key)
	case value.Kind() == reflect.Map:
		d.decodeMap(node, value, key)
	default:
		d.decodeScalar(node, value, key)
	}
}

func (d *Document) decodeStruct(node ast.Node, value reflect.Value, key string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.Report(key, "is not a group of keys", "write one `key: value` a line below it")
		return
	}
	for _, pair := range pairs {
		name := pair.Key.String()
		path := joinPath(key, name)
		field, known := fieldByKey(value, name)
		if !known {
			d.positions[path] = d.positionOf(pair.Key)
			d.Report(path, "unknown key", unknownKeyFix(name, value.Type()))
			continue
		}
		if _, twice := d.positions[path]; twice {
			d.Report(path, "is set twice", "keep one of the two")
			continue
		}
		d.decode(pair.Value, field, path)
	}
}

func (d *Document) decodeSlice(node ast.Node, value reflect.Value, key string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.Report(key, "is not a list", "write one `- item` a line below it")
		return
	}
	items := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for index, item := range sequence.Values {
		d.decode(item, items.Index(index), fmt.Sprintf("%s[%d]", key, index))
	}
	value.Set(items)
}

func (d *Document) decodeMap(node ast.Node, value reflect.Value, key string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.Report(key, "is not a group of keys", "write one `key: value` a line below it")
		return
	}
	entries := reflect.MakeMapWithSize(value.Type(), len(pairs))
	for _, pair := range pairs {
		entry := reflect.New(value.Type().Elem()).Elem()
		d.decode(pair.Value, entry, joinPath(key, pair.Key.String()))
		entries.SetMapIndex(reflect.ValueOf(pair.Key.String()), entry)
	}
	value.Set(entries)
}

func (d *Document) decodeDuration(node ast.Node, value reflect.Value, key string) {
	text := strings.Trim(node.String(), `"'`)
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.Report(key, fmt.Sprintf("%s is not a duration", text), "write a number with its unit, such as 500ms, 10s or 2m")
		return
	}
	value.SetInt(int64(duration))
}

// scalarFixes describe how to write a value of each kind.
var scalarFixes = map[reflect.Kind]string{
	reflect.String:  "write text, in quotes if it looks like a number",
	reflect.Int64:   "write a whole number without a unit (bytes and entries are counted one by one)",
	reflect.Int:     "write a whole number without a unit (bytes and entries are counted one by one)",
	reflect.Float64: "write a number without a unit, such as 2 or 0.5",
	reflect.Bool:    "write true or false",
}

func (d *Document) decodeScalar(node ast.Node, value reflect.Value, key string) {
	if !hasKind(node, value.Kind()) {
		d.Report(key, fmt.Sprintf("%s has the wrong type or unit", node), scalarFixes[value.Kind()])
		return
	}
	if err := yaml.NodeToValue(node, value.Addr().Interface(), yaml.Strict()); err != nil {
		d.Report(key, fmt.Sprintf("%s cannot be read", node), scalarFixes[value.Kind()])
	}
}

// hasKind reports whether a scalar of the file can be stored as a value of the kind.
func hasKind(node ast.Node, kind reflect.Kind) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return kind == reflect.String
	case *ast.IntegerNode:
		return kind == reflect.Int || kind == reflect.Int64 || kind == reflect.Float64
	case *ast.FloatNode:
		return kind == reflect.Float64
	case *ast.BoolNode:
		return kind == reflect.Bool
	}
	return false
}

// Report adds a problem of a key. Its position is that of the key, or of the nearest enclosing group
// that is set.
func (d *Document) Report(key, fault, fix string) {
	position, found := d.positions[key]
	for parent := key; !found; {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		position, found = d.positions[parent]
	}
	d.problems = append(d.problems, Problem{Position: position, Key: key, Fault: fault, Fix: fix})
}

func (d *Document) positionOf(node ast.Node) string {
	position := node.GetToken().Position
	return fmt.Sprintf("%s:%d:%d", d.source.Path, position.Line, position.Column)
}

// mappingPairs returns the pairs of a mapping, which the YAML library represents as another node type
// when there is only one pair. It returns false if the node is not a mapping.
func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

func unknownKeyFix(name string, structType reflect.Type) string {
	keys := keysOf(structType)
	if suggestion, found := nearest.Word(name, keys); found {
		return fmt.Sprintf("did you mean %s?", suggestion)
	}
	return "known keys are " + strings.Join(keys, ", ")
}

// keysOf returns the keys of a struct. Fields without a `yaml` tag cannot be set by a file.
func keysOf(structType reflect.Type) []string {
	var keys []string
	for index := range structType.NumField() {
		if name := structType.Field(index).Tag.Get("yaml"); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

func fieldByKey(value reflect.Value, name string) (reflect.Value, bool) {
	for index := range value.NumField() {
		if name != "" && value.Type().Field(index).Tag.Get("yaml") == name {
			return value.Field(index), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
