package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/parser"
)

// sha256HexLength is the length of a SHA-256 hash written in hexadecimal.
const sha256HexLength = 64

// rule returns what is wrong with a value that was set and how to cure it, or "".
type rule func(value reflect.Value) (fault, cure string)

// rules are the names that `check` tags use; "required" is handled by checkRules.
var rules = map[string]rule{
	"address":      checkAddress,
	"ip":           checkIP,
	"sha256":       checkSHA256,
	"positive":     checkPositive,
	"not-negative": checkNotNegative,
}

// applyDefaults fills the keys that neither file nor flags set.
func (d *document) applyDefaults(value reflect.Value, key string) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		path := join(key, field.Tag.Get("yaml"))
		if field.Type.Kind() == reflect.Struct {
			d.applyDefaults(value.Field(index), path)
			continue
		}
		text, hasDefault := field.Tag.Lookup("default")
		if _, set := d.places[path]; set || !hasDefault {
			continue
		}
		file, err := parser.ParseBytes([]byte(text), 0)
		if err != nil {
			panic(fmt.Sprintf("the default of %s is not YAML: %v", path, err))
		}
		d.decode(bodies(file)[0], value.Field(index), path)
		d.places[path] = "default"
	}
}

// checkRules reports every broken rule of a struct's `check` tags.
func (d *document) checkRules(value reflect.Value, key string) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		path := join(key, field.Tag.Get("yaml"))
		var names []string
		if tag := field.Tag.Get("check"); tag != "" {
			names = strings.Split(tag, ",")
		}
		d.checkField(value.Field(index), path, names)
	}
}

func (d *document) checkField(value reflect.Value, key string, names []string) {
	if value.IsZero() || (value.Kind() == reflect.Slice && value.Len() == 0) {
		if len(names) > 0 && names[0] == "required" {
			d.report(key, "is missing or empty", "set it here or with --set "+key+"=VALUE")
			return
		}
	}
	switch value.Kind() {
	case reflect.Struct:
		d.checkRules(value, key)
	case reflect.Slice:
		for index := range value.Len() {
			d.checkField(value.Index(index), fmt.Sprintf("%s[%d]", key, index), names)
		}
	case reflect.Map:
		for entry := value.MapRange(); entry.Next(); {
			d.checkField(entry.Value(), join(key, entry.Key().String()), names)
		}
	default:
		d.checkValue(value, key, names)
	}
}

func (d *document) checkValue(value reflect.Value, key string, names []string) {
	if _, set := d.places[key]; !set {
		return
	}
	for _, name := range names {
		if check, known := rules[name]; known {
			if fault, cure := check(value); fault != "" {
				d.report(key, fault, cure)
			}
		}
	}
}

func checkAddress(value reflect.Value) (fault, cure string) {
	text := value.String()
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", text), "write an IP number and a port such as 10.0.0.1:7400; host names are not looked up"
	}
	if address.Port() == 0 {
		return fmt.Sprintf("%q has port 0", text), "choose a port from 1 to 65535"
	}
	return "", ""
}

func checkIP(value reflect.Value) (fault, cure string) {
	if _, err := netip.ParseAddr(value.String()); err != nil {
		return fmt.Sprintf("%q is not an IP number", value.String()), "write an IP number such as 10.0.0.1; host names are not looked up"
	}
	return "", ""
}

func checkSHA256(value reflect.Value) (fault, cure string) {
	_, err := hex.DecodeString(value.String())
	if err != nil || len(value.String()) != sha256HexLength {
		return "is not a SHA-256 hash", fmt.Sprintf("write %d hexadecimal digits, as `hazelctl key` prints them", sha256HexLength)
	}
	return "", ""
}

func checkPositive(value reflect.Value) (fault, cure string) {
	if value.Int() <= 0 {
		return fmt.Sprintf("%s is not above zero", display(value)), "write a value above zero or remove the key for its default"
	}
	return "", ""
}

func checkNotNegative(value reflect.Value) (fault, cure string) {
	if value.Int() < 0 {
		return fmt.Sprintf("%s is below zero", display(value)), "write zero or more"
	}
	return "", ""
}

func display(value reflect.Value) string {
	if value.Type() == durationType {
		return time.Duration(value.Int()).String()
	}
	return fmt.Sprint(value.Int())
}
