package gateway

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// loadTLSConfig loads the TLS configuration for calls to controllers from the files named in the settings. It returns nil
// when TLS is off. Replaced files apply to the next connection.
func loadTLSConfig(config settings.Gateway, log *logring.Log, factory metrics.Factory) (*tls.Config, error) {
	if !config.TLS.Enabled() {
		return nil, nil
	}
	credentials, err := keys.Load(
		keys.Files{Authority: config.TLS.Authority, Certificate: config.TLS.Certificate, Key: config.TLS.Key},
		keys.Options{OnReloadError: func(err error) {
			log.Error().Err(err).Msg("cannot reload the changed certificate files; the previous certificates stay in use")
		}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	factory.CertificateExpiry(credentials.ExpiresAt)
	return credentials.ClientConfig(config.Fleet, keys.RoleController), nil
}

// scheme returns the URL scheme of the controllers.
func scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http"
	}
	return "https"
}
