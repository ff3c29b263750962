package yamlfile

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/parser"

	"github.com/hazelpitch/hazelpitch/internal/nearest"
)

// sha256HexLength is the length of a SHA-256 hash in hexadecimal digits.
const sha256HexLength = 64

// rule returns what is wrong with a value that was set and how to fix it, or "". The argument is the text
// after the rule's name and an equals sign.
type rule func(value reflect.Value, argument string) (fault, fix string)

// rules maps the names in `check` tags to rules; checkRules handles "required".
var rules = map[string]rule{
	"address":      checkAddress,
	"ip":           checkIP,
	"sha256":       checkSHA256,
	"positive":     checkPositive,
	"not-negative": checkNotNegative,
	"at-least-1":   checkAtLeastOne,
	"share":        checkShare,
	"one-of":       checkOneOf,
}

// applyDefaults sets the defaults of keys that neither the file nor a flag set.
func (d *Document) applyDefaults(value reflect.Value, key string) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if field.Tag.Get("yaml") == "" {
			continue
		}
		path := joinPath(key, field.Tag.Get("yaml"))
		switch {
		case field.Type.Kind() == reflect.Struct:
			d.applyDefaults(value.Field(index), path)
			continue
		case field.Type.Kind() == reflect.Pointer:
			if !value.Field(index).IsNil() {
				d.applyDefaults(value.Field(index).Elem(), path)
			}
			continue
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			for item := range value.Field(index).Len() {
				d.applyDefaults(value.Field(index).Index(item), fmt.Sprintf("%s[%d]", path, item))
			}
			continue
		}
		text, hasDefault := field.Tag.Lookup("default")
		if _, set := d.positions[path]; set || !hasDefault {
			continue
		}
		file, err := parser.ParseBytes([]byte(text), 0)
		if err != nil {
			panic(fmt.Sprintf("the default of %s is not YAML: %v", path, err))
		}
		d.decode(documentRoots(file)[0], value.Field(index), path)
		d.positions[path] = "default"
	}
}

// checkRules checks the `check` tags of a struct's fields and reports every broken rule.
func (d *Document) checkRules(value reflect.Value, key string) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if field.Tag.Get("yaml") == "" {
			continue
		}
		path := joinPath(key, field.Tag.Get("yaml"))
		var names []string
		if tag := field.Tag.Get("check"); tag != "" {
			names = strings.Split(tag, ",")
		}
		d.checkField(value.Field(index), path, names)
	}
}

func (d *Document) checkField(value reflect.Value, key string, names []string) {
	if value.IsZero() || (value.Kind() == reflect.Slice && value.Len() == 0) {
		if len(names) > 0 && names[0] == "required" {
			d.Report(key, "is missing or empty", d.missingKeyFix(key))
			return
		}
	}
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			d.checkField(value.Elem(), key, names)
		}
	case reflect.Struct:
		d.checkRules(value, key)
	case reflect.Slice:
		for index := range value.Len() {
			d.checkField(value.Index(index), fmt.Sprintf("%s[%d]", key, index), names)
		}
	case reflect.Map:
		for entry := value.MapRange(); entry.Next(); {
			d.checkField(entry.Value(), joinPath(key, entry.Key().String()), names)
		}
	default:
		d.checkValue(value, key, names)
	}
}

func (d *Document) checkValue(value reflect.Value, key string, names []string) {
	if _, set := d.positions[key]; !set {
		return
	}
	for _, name := range names {
		name, argument, _ := strings.Cut(name, "=")
		if check, known := rules[name]; known {
			if fault, fix := check(value, argument); fault != "" {
				d.Report(key, fault, fix)
			}
		}
	}
}

func checkAddress(value reflect.Value, _ string) (fault, fix string) {
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

func checkIP(value reflect.Value, _ string) (fault, fix string) {
	if _, err := netip.ParseAddr(value.String()); err != nil {
		return fmt.Sprintf("%q is not an IP number", value.String()), "write an IP number such as 10.0.0.1; host names are not looked up"
	}
	return "", ""
}

func checkSHA256(value reflect.Value, _ string) (fault, fix string) {
	_, err := hex.DecodeString(value.String())
	if err != nil || len(value.String()) != sha256HexLength {
		return "is not a SHA-256 hash", fmt.Sprintf("write %d hexadecimal digits, as `hazelctl key` prints them", sha256HexLength)
	}
	return "", ""
}

func checkPositive(value reflect.Value, _ string) (fault, fix string) {
	if numericValue(value) <= 0 {
		return displayValue(value) + " is not above zero", "write a value above zero or remove the key for its default"
	}
	return "", ""
}

func checkNotNegative(value reflect.Value, _ string) (fault, fix string) {
	if numericValue(value) < 0 {
		return displayValue(value) + " is below zero", "write zero or more"
	}
	return "", ""
}

func checkAtLeastOne(value reflect.Value, _ string) (fault, fix string) {
	if numericValue(value) < 1 {
		return displayValue(value) + " is below one", "write one or more"
	}
	return "", ""
}

func checkShare(value reflect.Value, _ string) (fault, fix string) {
	if share := numericValue(value); share < 0 || share > 1 {
		return displayValue(value) + " is not a share", "write a number from 0 to 1"
	}
	return "", ""
}

// checkOneOf checks that the value is one of the argument's values, which are separated by bars.
func checkOneOf(value reflect.Value, argument string) (fault, fix string) {
	allowed := strings.Split(argument, "|")
	if slices.Contains(allowed, value.String()) {
		return "", ""
	}
	fault = fmt.Sprintf("%q is not known", value.String())
	if suggestion, found := nearest.Word(value.String(), allowed); found {
		return fault, fmt.Sprintf("did you mean %s?", suggestion)
	}
	return fault, "write one of " + strings.Join(allowed, ", ")
}

// numericValue returns a duration, integer or floating-point value as a float64.
func numericValue(value reflect.Value) float64 {
	if value.CanFloat() {
		return value.Float()
	}
	return float64(value.Int())
}

func displayValue(value reflect.Value) string {
	if value.Type() == durationType {
		return time.Duration(value.Int()).String()
	}
	return fmt.Sprint(value.Interface())
}

func (d *Document) missingKeyFix(key string) string {
	if d.source.MissingKeyFix == nil {
		return "set it"
	}
	return d.source.MissingKeyFix(key)
}
