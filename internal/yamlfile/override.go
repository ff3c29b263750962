package yamlfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/parser"
)

// Override sets one key by a command-line flag, after the file has been read.
type Override struct {
	// Flag is the flag that the operator used, for error messages: "--listen" or "--set".
	Flag string
	// Key is the dotted path of the key, such as limits.in_flight.
	Key string
	// Value is the value as YAML.
	Value string
}

// ParseOverride reads the argument of a --set flag, KEY=VALUE.
func ParseOverride(argument string) (Override, error) {
	key, value, found := strings.Cut(argument, "=")
	if !found || key == "" {
		return Override{}, Problem{
			Position: "--set " + argument, Key: key, Fault: "is not KEY=VALUE",
			Fix: "write for example --set limits.in_flight=100",
		}
	}
	return Override{Flag: "--set", Key: key, Value: value}, nil
}

// applyOverride stores the value of one flag in the field of its key.
func (d *Document) applyOverride(override Override, value reflect.Value) {
	position := fmt.Sprintf("flag %s %s", override.Flag, override.Value)
	field, path := value, ""
	for name := range strings.SplitSeq(override.Key, ".") {
		path = joinPath(path, name)
		if field.Kind() != reflect.Struct {
			d.positions[path] = position
			d.Report(path, "is not a group of keys", "name a key of the file")
			return
		}
		next, known := fieldByKey(field, name)
		if !known {
			d.positions[path] = position
			d.Report(path, "unknown key", unknownKeyFix(name, field.Type()))
			return
		}
		field = next
	}
	file, err := parser.ParseBytes([]byte(override.Value), 0)
	if err != nil || len(documentRoots(file)) != 1 {
		d.positions[override.Key] = position
		d.Report(override.Key, "has no readable value", "write one value, in quotes if it holds spaces")
		return
	}
	before := len(d.problems)
	d.decode(documentRoots(file)[0], field, override.Key)
	for key := range d.positions {
		if key == override.Key || strings.HasPrefix(key, override.Key+"[") || strings.HasPrefix(key, override.Key+".") {
			d.positions[key] = position
		}
	}
	for index := before; index < len(d.problems); index++ {
		d.problems[index].Position = position
	}
}
