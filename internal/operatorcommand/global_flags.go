package operatorcommand

import (
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/operatorclient"
)

// globalFlags select the controllers, the operator's credentials and the output format.
type globalFlags struct {
	Controllers    []string      `long:"controller" env:"HAZELCTL_CONTROLLER" env-delim:"," value-name:"IP:PORT" description:"a controller; may be given several times, in order of preference"`
	KeyFile        string        `long:"key-file" env:"HAZELCTL_KEY_FILE" value-name:"FILE" description:"file that holds the operator's key"`
	TLSAuthority   string        `long:"tls-authority" env:"HAZELCTL_TLS_AUTHORITY" value-name:"FILE" description:"certificate of the fleet authority; without it TLS is off"`
	TLSCertificate string        `long:"tls-certificate" env:"HAZELCTL_TLS_CERTIFICATE" value-name:"FILE" description:"the operator's own certificate, where the fleet wants one"`
	TLSKey         string        `long:"tls-key" env:"HAZELCTL_TLS_KEY" value-name:"FILE" description:"key of that certificate"`
	Fleet          string        `long:"fleet" value-name:"NAME" description:"name of the fleet; default: that of the authority"`
	Timeout        time.Duration `long:"timeout" default:"30s" value-name:"DURATION" description:"longest time for a request with all its attempts"`
	JSON           bool          `long:"json" description:"print JSON for programs"`
}

// client returns a client configured by the flags.
func (g *globalFlags) client() (*operatorclient.Client, error) {
	config := operatorclient.Config{Controllers: g.Controllers, Timeout: g.Timeout, Fleet: g.Fleet}
	if g.KeyFile != "" {
		key, err := os.ReadFile(g.KeyFile)
		if err != nil {
			return nil, newUsageError("can't read the operator's key: %v", err)
		}
		config.Key = strings.TrimSpace(string(key))
	}
	if err := g.loadCredentials(&config); err != nil {
		return nil, trace.Wrap(err)
	}
	client, err := operatorclient.New(config)
	if err != nil {
		return nil, newUsageError("%s", userMessage(err))
	}
	return client, nil
}

func (g *globalFlags) loadCredentials(config *operatorclient.Config) error {
	if g.TLSAuthority == "" {
		if g.TLSCertificate != "" || g.TLSKey != "" {
			return newUsageError("a certificate is of use with --tls-authority only")
		}
		return nil
	}
	credentials, err := keys.Load(keys.Files{Authority: g.TLSAuthority, Certificate: g.TLSCertificate, Key: g.TLSKey}, keys.Options{})
	if err != nil {
		return trace.Wrap(err)
	}
	config.Credentials = credentials
	if config.Fleet == "" {
		config.Fleet = credentials.AuthorityFleet()
	}
	return nil
}
