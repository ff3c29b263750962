package scenario

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/nearest"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// checkName reports a name at a key of the document that is not among the known names; an empty name is valid.
func checkName(document *yamlfile.Document, key, name string, known []string) {
	if name == "" || slices.Contains(known, name) {
		return
	}
	document.Report(key, fmt.Sprintf("%q is not one of the scenario's", name), nameRemedy(name, known))
}

func nameRemedy(name string, known []string) string {
	if suggestion, found := nearest.Word(name, known); found {
		return fmt.Sprintf("did you mean %s?", suggestion)
	}
	return "write one of " + strings.Join(known, ", ")
}

// checkDuplicates reports names that occur more than once in a list.
func checkDuplicates(document *yamlfile.Document, list string, names []string) {
	seen := map[string]bool{}
	for index, name := range names {
		if seen[name] && name != "" {
			document.Report(fmt.Sprintf("%s[%d].name", list, index), fmt.Sprintf("%q stands twice", name), "give each its own name")
		}
		seen[name] = true
	}
}

func (s *Scenario) zoneNames() []string {
	return namesOf(s.Zones, func(zone Zone) string { return zone.Name })
}

func (s *Scenario) serviceNames() []string {
	return namesOf(s.Services, func(service Service) string { return service.Name })
}

func (s *Scenario) kindNames() []string {
	return namesOf(s.Kinds, func(kind Kind) string { return kind.Name })
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, len(items))
	for index, item := range items {
		names[index] = name(item)
	}
	return names
}
