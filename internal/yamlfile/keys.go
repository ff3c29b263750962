package yamlfile

import (
	"reflect"
	"strings"
)

// Key is one key that a file may set, as its struct tags state it.
type Key struct {
	// Path is dotted; [] stands for any item of a list and * for any name of a map.
	Path string
	// Default is the value when the key is absent; "" when it has none.
	Default  string
	Required bool
	// AllowedValues are the values that the key takes; nil when it takes others.
	AllowedValues []string
	// IsGroup tells that the key holds other keys, which are listed too.
	IsGroup bool
}

// Keys lists the keys of a file's struct type, groups before what they hold.
func Keys(of reflect.Type) []Key { return appendKeys(nil, of, "") }

func appendKeys(keys []Key, of reflect.Type, prefix string) []Key {
	for index := range of.NumField() {
		field := of.Field(index)
		name := field.Tag.Get("yaml")
		if name == "" {
			continue
		}
		key := Key{Path: prefix + name, Default: field.Tag.Get("default")}
		for rule := range strings.SplitSeq(field.Tag.Get("check"), ",") {
			words, found := strings.CutPrefix(rule, "one-of=")
			if found {
				key.AllowedValues = strings.Split(words, "|")
			}
			key.Required = key.Required || rule == "required"
		}
		inner, within := group(field.Type, key.Path)
		key.IsGroup = inner != nil
		keys = append(keys, key)
		if key.IsGroup {
			keys = appendKeys(keys, inner, within)
		}
	}
	return keys
}

// group returns the struct that a key holds and the prefix of its keys; nil when it
// holds none.
func group(of reflect.Type, path string) (reflect.Type, string) {
	switch of.Kind() {
	case reflect.Struct:
		return of, path + "."
	case reflect.Pointer:
		return group(of.Elem(), path)
	case reflect.Slice:
		return group(of.Elem(), path+"[]")
	case reflect.Map:
		return group(of.Elem(), path+".*")
	}
	return nil, ""
}
