package settings

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

// document collects where each key was set and what is wrong with it.
type document struct {
	path string
	// places maps the dotted path of each key that was set to its place.
	places   map[string]string
	problems Problems
}

func newDocument(path string) *document {
	return &document{path: path, places: map[string]string{"": path + ":1:1"}}
}

// decode checks one YAML node against the type of the value and stores it there.
func (d *document) decode(node ast.Node, value reflect.Value, key string) {
	if key != "" {
		d.places[key] = d.place(node)
	}
	if _, null := node.(*ast.NullNode); null {
		d.report(key, "has no value", "write a value or remove the key")
		return
	}
	switch {
	case value.Type() == durationType:
		d.decodeDuration(node, value, key)
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

func (d *document) decodeStruct(node ast.Node, value reflect.Value, key string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.report(key, "is not a group of keys", "write one `key: value` a line below it")
		return
	}
	for _, pair := range pairs {
		name := pair.Key.String()
		path := join(key, name)
		field, known := fieldNamed(value, name)
		if !known {
			d.places[path] = d.place(pair.Key)
			d.report(path, "unknown key", unknownKeyCure(name, value.Type()))
			continue
		}
		if _, twice := d.places[path]; twice {
			d.report(path, "is set twice", "keep one of the two")
			continue
		}
		d.decode(pair.Value, field, path)
	}
}

func (d *document) decodeSlice(node ast.Node, value reflect.Value, key string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(key, "is not a list", "write one `- item` a line below it")
		return
	}
	items := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for index, item := range sequence.Values {
		d.decode(item, items.Index(index), fmt.Sprintf("%s[%d]", key, index))
	}
	value.Set(items)
}

func (d *document) decodeMap(node ast.Node, value reflect.Value, key string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.report(key, "is not a group of keys", "write one `key: value` a line below it")
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

func (d *document) decodeDuration(node ast.Node, value reflect.Value, key string) {
	text := strings.Trim(node.String(), `"'`)
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.report(key, fmt.Sprintf("%s is not a duration", text), "write a number with its unit, such as 500ms, 10s or 2m")
		return
	}
	value.SetInt(int64(duration))
}

func (d *document) decodeScalar(node ast.Node, value reflect.Value, key string) {
	cures := map[reflect.Kind]string{
		reflect.String: "write text, in quotes if it looks like a number",
		reflect.Int:    "write a whole number without a unit (bytes and entries are counted one by one)",
		reflect.Bool:   "write true or false",
	}
	fits := false
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		fits = value.Kind() == reflect.String
	case *ast.IntegerNode:
		fits = value.Kind() == reflect.Int
	case *ast.BoolNode:
		fits = value.Kind() == reflect.Bool
	}
	if !fits {
		d.report(key, fmt.Sprintf("%s has the wrong type or unit", node), cures[value.Kind()])
		return
	}
	if err := yaml.NodeToValue(node, value.Addr().Interface(), yaml.Strict()); err != nil {
		d.report(key, fmt.Sprintf("%s cannot be read", node), cures[value.Kind()])
	}
}

// report adds a problem at the place of the key, or of the nearest group around it.
func (d *document) report(key, fault, cure string) {
	place, found := d.places[key]
	for parent := key; !found; {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		place, found = d.places[parent]
	}
	d.problems = append(d.problems, Problem{Place: place, Key: key, Fault: fault, Cure: cure})
}

func (d *document) place(node ast.Node) string {
	position := node.GetToken().Position
	return fmt.Sprintf("%s:%d:%d", d.path, position.Line, position.Column)
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

func keysOf(structType reflect.Type) []string {
	keys := make([]string, structType.NumField())
	for index := range keys {
		keys[index] = structType.Field(index).Tag.Get("yaml")
	}
	return keys
}

func fieldNamed(value reflect.Value, name string) (reflect.Value, bool) {
	for index := range value.NumField() {
		if value.Type().Field(index).Tag.Get("yaml") == name {
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
