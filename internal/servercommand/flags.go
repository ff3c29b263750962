package servercommand

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// commonFlags are the flags that controllers and gateways share.
type commonFlags struct {
	Settings      string   `long:"settings" value-name:"FILE" required:"true" description:"settings file (YAML)"`
	Check         bool     `long:"check" description:"check the settings and exit"`
	Set           []string `long:"set" value-name:"KEY=VALUE" description:"override one key of the settings file, such as log.ring_entries=100; may be given several times"`
	Name          string   `long:"name" value-name:"NAME" description:"override name"`
	Zone          string   `long:"zone" value-name:"ZONE" description:"override zone"`
	Listen        string   `long:"listen" value-name:"IP:PORT" description:"override listen"`
	AdminListen   string   `long:"admin-listen" value-name:"IP:PORT" description:"override admin_listen"`
	SourceAddress string   `long:"source-address" value-name:"IP" description:"override source_address"`
}

// source returns the sources of the settings: the file, then the flags.
func (c *commonFlags) source() (settings.Source, error) {
	source := settings.Source{Path: c.Settings}
	for _, argument := range c.Set {
		override, err := settings.ParseOverride(argument)
		if err != nil {
			return settings.Source{}, &settingsError{cause: err}
		}
		source.Overrides = append(source.Overrides, override)
	}
	source.Overrides = appendOverride(source.Overrides, "--name", "name", c.Name)
	source.Overrides = appendOverride(source.Overrides, "--zone", "zone", c.Zone)
	source.Overrides = appendOverride(source.Overrides, "--listen", "listen", c.Listen)
	source.Overrides = appendOverride(source.Overrides, "--admin-listen", "admin_listen", c.AdminListen)
	source.Overrides = appendOverride(source.Overrides, "--source-address", "source_address", c.SourceAddress)
	return source, nil
}

// siteFlags are the flags of relays and site controllers, whose settings files are generated
// at every start.
type siteFlags struct {
	Settings string   `long:"settings" value-name:"FILE" required:"true" description:"settings file (YAML)"`
	Check    bool     `long:"check" description:"check the settings and exit"`
	Set      []string `long:"set" value-name:"KEY=VALUE" description:"override one key of the settings file; may be given several times"`
}

// source returns the sources of the settings: the file, then the flags.
func (s *siteFlags) source() (settings.Source, error) {
	common := commonFlags{Settings: s.Settings, Set: s.Set}
	return common.source()
}

// appendOverride appends an override when its flag is set.
func appendOverride(overrides []settings.Override, flag, key, value string) []settings.Override {
	if value == "" {
		return overrides
	}
	return append(overrides, settings.Override{Flag: flag, Key: key, Value: fmt.Sprintf("%q", value)})
}

// settingsError marks an error in the settings or overrides: nothing was started.
type settingsError struct{ cause error }

// Error returns the cause's text.
func (s *settingsError) Error() string { return s.cause.Error() }

// Unwrap returns the cause.
func (s *settingsError) Unwrap() error { return s.cause }
