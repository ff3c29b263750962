package yamlfile

import (
	"reflect"
	"strings"
)

// Key describes one key that a file may set, according to its struct tags.
type Key struct {
	// Path is dotted; [] stands for any item of a list and * for any name of a map.
	Path string
	// Default is the value of an absent key; "" when there is none.
	Default  string
	Required bool
	// AllowedValues lists the values that the key accepts; nil when it is not limited to a list.
	AllowedValues []string
	// IsGroup is set when the key contains other keys, which are listed too.
	IsGroup bool
}

// Keys lists the keys of a file's struct type; a group comes before its keys.
func Keys(of reflect.Type) []Key { return appendKeys(nil, of, "") }

func appendKeys(keys []Key, of reflect.Type, prefix string) []Key {
	for index := range of.NumField() {
		field := of.Field(index)
		name := field.Tag.Get("yaml")
		if name == "" {
			continue
		}
		key := Key{Path: prefix + name, Default: field.Tag.Get("default")}
		for check := range strings.SplitSeq(field.Tag.Get("check"), ",") {
			words, found := strings.CutPrefix(check, "one-of=")
			if found {
				key.AllowedValues = strings.Split(words, "|")
			}
			key.Required = key.Required || check == "required"
		}
		inner, within := groupType(field.Type, key.Path)
		key.IsGroup = inner != nil
		keys = append(keys, key)
		if key.IsGroup {
			keys = appendKeys(keys, inner, within)
		}
	}
	return keys
}

// groupType returns the struct type of a key's value and the prefix of the keys in it; nil when the
// value contains no struct.
func groupType(of reflect.Type, path string) (reflect.Type, string) {
	switch of.Kind() {
	case reflect.Struct:
		return of, path + "."
	case reflect.Pointer:
		return groupType(of.Elem(), path)
	case reflect.Slice:
		return groupType(of.Elem(), path+"[]")
	case reflect.Map:
		return groupType(of.Elem(), path+".*")
	}
	return nil, ""
}
