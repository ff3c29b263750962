package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// Override sets one key from a flag, after the file has been read.
type Override = yamlfile.Override

// Problem is one error in a settings file; Problems holds all errors found.
type (
	Problem  = yamlfile.Problem
	Problems = yamlfile.Problems
)

// ParseOverride parses the argument of a --set flag, KEY=VALUE.
func ParseOverride(argument string) (Override, error) { return yamlfile.ParseOverride(argument) }

// Source names the sources of the settings of one process.
type Source struct {
	// Path is the path of the YAML file.
	Path string
	// Overrides are applied in order after the file has been read.
	Overrides []Override
}

// LoadController reads and checks the settings of a controller. When the file is readable but
// invalid, the error holds Problems.
func LoadController(source Source) (Controller, error) {
	var controller Controller
	err := load(source, &controller, func(document *yamlfile.Document) {
		checkTLS(document, controller.TLS)
		checkTimeouts(document, &controller)
		checkPeers(document, &controller)
	})
	return controller, trace.Wrap(err)
}

// LoadGateway reads and checks the settings of a gateway. When the file is readable but
// invalid, the error holds Problems.
func LoadGateway(source Source) (Gateway, error) {
	var gateway Gateway
	err := load(source, &gateway, func(document *yamlfile.Document) { checkTLS(document, gateway.TLS) })
	return gateway, trace.Wrap(err)
}

// LoadRelay reads and checks the settings of a relay. When the file is readable but
// invalid, the error holds Problems.
func LoadRelay(source Source) (Relay, error) {
	var relay Relay
	err := load(source, &relay, func(*yamlfile.Document) {})
	return relay, trace.Wrap(err)
}

// LoadSiteController reads and checks the settings of a controller of relays. When the file is readable but
// invalid, the error holds Problems.
func LoadSiteController(source Source) (SiteController, error) {
	var controller SiteController
	err := load(source, &controller, func(document *yamlfile.Document) { checkOnDemandShare(document, &controller) })
	return controller, trace.Wrap(err)
}

func load(source Source, target any, crossCheck func(*yamlfile.Document)) error {
	if _, err := os.Stat(source.Path); err != nil {
		return trace.BadParameter("cannot read the settings file: %v; give its path with --settings", err)
	}
	return yamlfile.Load(yamlfile.Source{
		Path:          source.Path,
		Overrides:     source.Overrides,
		MissingKeyFix: func(key string) string { return "set it here or with --set " + key + "=VALUE" },
		CrossCheck:    crossCheck,
	}, target)
}
