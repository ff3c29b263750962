package yamlfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/parser"
)

// Override sets one key from a flag, after the file has been read.
type Override struct {
	// Flag is how the operator gave it, for error messages: "--listen" or "--set".
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

// override stores the value of one flag in the field that its key names.
func (d *Document) override(override Override, value reflect.Value) {
	place := fmt.Sprintf("flag %s %s", override.Flag, override.Value)
	field, path := value, ""
	for name := range strings.SplitSeq(override.Key, ".") {
		path = join(path, name)
		if field.Kind() != reflect.Struct {
			d.places[path] = place
			d.Report(path, "is not a group of keys", "name a key of the file")
			return
		}
		next, known := fieldNamed(field, name)
		if !known {
			d.places[path] = place
			d.Report(path, "unknown key", unknownKeyCure(name, field.Type()))
			return
		}
		field = next
	}
	file, err := parser.ParseBytes([]byte(override.Value), 0)
	if err != nil || len(bodies(file)) != 1 {
		d.places[override.Key] = place
		d.Report(override.Key, "has no readable value", "write one value, in quotes if it holds spaces")
		return
	}
	before := len(d.problems)
	d.decode(bodies(file)[0], field, override.Key)
	for key := range d.places {
		if key == override.Key || strings.HasPrefix(key, override.Key+"[") || strings.HasPrefix(key, override.Key+".") {
			d.places[key] = place
		}
	}
	for index := before; index < len(d.problems); index++ {
		d.problems[index].Position = place
	}
}
