package scenario

import (
	"fmt"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

func checkService(document *yamlfile.Document, read *Scenario, service Service, key string) {
	restricted := Scenario{Zones: read.Zones, Services: []Service{service}}
	engines := restricted.Engines()
	for _, zone := range sortedKeys(service.Engines) {
		if !slices.Contains(read.zoneNames(), zone) {
			document.Report(key+".engines."+zone, "is not one of the scenario's zones", nameRemedy(zone, read.zoneNames()))
		}
	}
	if len(service.Engines) > 0 && len(engines) == 0 {
		document.Report(key+".engines", "the service has no engine", "give a zone at least one")
	}
	names := namesOf(engines, func(engine Engine) string { return engine.Name })
	for _, name := range sortedKeys(service.Pins) {
		if !slices.Contains(names, name) {
			document.Report(key+".pins."+name, "is not one of the service's engines", nameRemedy(name, names))
		}
	}
	checkStages(document, engines, key)
	for index, bound := range service.Bounds {
		checkBound(document, read, engines, bound, fmt.Sprintf("%s.bounds[%d]", key, index))
	}
}

// checkStages reports initial roles with no engine for prefill or none for decode.
func checkStages(document *yamlfile.Document, engines []Engine, key string) {
	prefillEngines, decodeEngines := 0, 0
	for _, engine := range engines {
		if engine.Role != enginecontract.RoleDecode {
			prefillEngines++
		}
		if engine.Role != enginecontract.RolePrefill {
			decodeEngines++
		}
	}
	if len(engines) > 0 && (prefillEngines == 0 || decodeEngines == 0) {
		document.Report(key+".initial_roles", "leave no engine to read prompts, or none to write output", "have both prefill and decode, or mixed")
	}
}

func checkBound(document *yamlfile.Document, read *Scenario, engines []Engine, bound Bound, key string) {
	checkName(document, key+".zone", bound.Zone, read.zoneNames())
	if bound.Maximum > 0 && bound.Minimum > bound.Maximum {
		document.Report(key+".minimum", fmt.Sprintf("%d is above maximum, %d", bound.Minimum, bound.Maximum), "write minimum <= maximum")
	}
	present := 0
	for _, engine := range engines {
		if bound.Zone == "" || engine.Zone == bound.Zone {
			present++
		}
	}
	if bound.Minimum > present {
		document.Report(key+".minimum", fmt.Sprintf("%d is more than the %d engines there", bound.Minimum, present), "write a smaller minimum")
	}
}

func sortedKeys[T any](items map[string]T) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
