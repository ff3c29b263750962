package gateway

import (
	"crypto/tls"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// loadEncryption reads the files that the settings name, for calls to controllers; nil
// without TLS. Replaced files are taken up with the next connection.
func loadEncryption(config settings.Gateway, log *logring.Log, factory metrics.Factory) (*tls.Config, error) {
	if !config.TLS.Enabled() {
		return nil, nil
	}
	credentials, err := keys.Load(
		keys.Files{Authority: config.TLS.Authority, Certificate: config.TLS.Certificate, Key: config.TLS.Key},
		keys.Options{OnReloadError: func(err error) {
			log.Error().Err(err).Msg("the changed certificate files were not taken up; the earlier ones stay in use")
		}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	factory.CertificateExpiry(credentials.ExpiresAt)
	return credentials.ClientConfig(config.Fleet, keys.RoleController), nil
}

// scheme of the controllers' URLs.
func scheme(encryption *tls.Config) string {
	if encryption == nil {
		return "http"
	}
	return "https"
}
