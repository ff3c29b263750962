package controller

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// tlsConfigs holds the TLS configurations of a controller; both are nil without TLS.
type tlsConfigs struct {
	server *tls.Config
	client *tls.Config
}

// loadTLSConfigs reads the certificate files that the settings name. Operators may authenticate
// with a key and no certificate; the routes exclude them from the other services.
func loadTLSConfigs(config settings.Controller, log *logring.Log, factory metrics.Factory) (tlsConfigs, error) {
	if !config.TLS.Enabled() {
		return tlsConfigs{}, nil
	}
	credentials, err := keys.Load(
		keys.Files{Authority: config.TLS.Authority, Certificate: config.TLS.Certificate, Key: config.TLS.Key},
		keys.Options{OnReloadError: func(err error) {
			log.Error().Err(err).Msg("failed to load the changed certificate files; the previous certificates stay in use")
		}})
	if err != nil {
		return tlsConfigs{}, trace.Wrap(err)
	}
	factory.CertificateExpiry(credentials.ExpiresAt)
	return tlsConfigs{
		server: credentials.ServerConfig(config.Fleet, true, keys.RoleController, keys.RoleGateway, keys.RoleOperator),
		client: credentials.ClientConfig(config.Fleet, keys.RoleController),
	}, nil
}
