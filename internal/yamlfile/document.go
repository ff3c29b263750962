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

// Document collects where each key was set and what is wrong with it.
type Document struct {
	source Source
	// places maps the dotted path of each key that was set to its place.
	places   map[string]string
	problems Problems
}

func newDocument(source Source) *Document {
	return &Document{source: source, places: map[string]string{"": source.Path + ":1:1"}}
}

// IsSet reports whether the file, an override or a default set the key.
func (d *Document) IsSet(key string) bool {
	_, set := d.places[key]
	return set
}

// decode checks one YAML node against the type of the value and stores it there.
func (d *Document) decode(node ast.Node, value reflect.Value, key string) {
	if key != "" {
		d.places[key] = d.place(node)
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
		path := join(key, name)
		field, known := fieldNamed(value, name)
		if !known {
			d.places[path] = d.place(pair.Key)
			d.Report(path, "unknown key", unknownKeyCure(name, value.Type()))
			continue
		}
		if _, twice := d.places[path]; twice {
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
		d.decode(pair.Value, entry, join(key, pair.Key.String()))
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

// scalarCures tells how to write a value of each kind.
var scalarCures = map[reflect.Kind]string{
	reflect.String:  "write text, in quotes if it looks like a number",
	reflect.Int64:   "write a whole number without a unit (bytes and entries are counted one by one)",
	reflect.Int:     "write a whole number without a unit (bytes and entries are counted one by one)",
	reflect.Float64: "write a number without a unit, such as 2 or 0.5",
	reflect.Bool:    "write true or false",
}

func (d *Document) decodeScalar(node ast.Node, value reflect.Value, key string) {
	if !fits(node, value.Kind()) {
		d.Report(key, fmt.Sprintf("%s has the wrong type or unit", node), scalarCures[value.Kind()])
		return
	}
	if err := yaml.NodeToValue(node, value.Addr().Interface(), yaml.Strict()); err != nil {
		d.Report(key, fmt.Sprintf("%s cannot be read", node), scalarCures[value.Kind()])
	}
}

// fits reports whether a scalar of the file can become a value of the kind.
func fits(node ast.Node, kind reflect.Kind) bool {
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

// Report adds a problem of a key at the place of the key, or of the nearest group around it.
func (d *Document) Report(key, fault, cure string) {
	place, found := d.places[key]
	for parent := key; !found; {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		place, found = d.places[parent]
	}
	d.problems = append(d.problems, Problem{Position: place, Key: key, Fault: fault, Fix: cure})
}

func (d *Document) place(node ast.Node) string {
	position := node.GetToken().Position
	return fmt.Sprintf("%s:%d:%d", d.source.Path, position.Line, position.Column)
}

// mappingPairs returns the pairs of a mapping of any length.
func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

func unknownKeyCure(name string, structType reflect.Type) string {
	keys := keysOf(structType)
	if suggestion, found := nearest.Word(name, keys); found {
		return fmt.Sprintf("did you mean %s?", suggestion)
	}
	return "known keys are " + strings.Join(keys, ", ")
}

// keysOf returns the keys of a struct; fields without a key are not the file's.
func keysOf(structType reflect.Type) []string {
	var keys []string
	for index := range structType.NumField() {
		if name := structType.Field(index).Tag.Get("yaml"); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

func fieldNamed(value reflect.Value, name string) (reflect.Value, bool) {
	for index := range value.NumField() {
		if name != "" && value.Type().Field(index).Tag.Get("yaml") == name {
			return value.Field(index), true
		}
	}
	return reflect.Value{}, false
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
