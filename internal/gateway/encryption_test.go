package gateway

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// issueFiles makes an authority of a fleet in a directory of its own, and a
// certificate for each name.
func issueFiles(t *testing.T, fleet string, role keys.Role, name string) settings.TLS {
	t.Helper()
	directory := t.TempDir()
	now := time.Now()
	authority, pair, err := keys.NewAuthority(fleet, now)
	require.NoError(t, err)
	require.NoError(t, keys.WriteAuthority(directory, pair))
	return issueWith(t, authority, directory, role, name)
}

func issueWith(t *testing.T, authority *keys.Authority, directory string, role keys.Role, name string) settings.TLS {
	t.Helper()
	issued, err := authority.Issue(role, name, time.Hour, time.Now())
	require.NoError(t, err)
	files, err := keys.WriteCertificate(directory, name, issued)
	require.NoError(t, err)
	return settings.TLS{Authority: filepath.Join(directory, keys.AuthorityCertificateFile), Certificate: files.Certificate, Key: files.Key}
}

// startEncryptedController answers as startController's does, with TLS, to gateways alone.
func startEncryptedController(t *testing.T, files settings.TLS) string {
	t.Helper()
	credentials, err := keys.Load(keys.Files{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}, keys.Options{})
	require.NoError(t, err)
	path, handler := hazelpitchv1connect.NewNodeServiceHandler(startController(t))
	routes := http.NewServeMux()
	routes.Handle(path, handler)
	server := httptest.NewUnstartedServer(routes)
	server.Listener = tls.NewListener(server.Listener, credentials.ServerConfig("test", false, keys.RoleGateway))
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestGatewayCallsControllersWithTLS syncs with certificates of the fleet, and with
// ones that either side must refuse.
func TestGatewayCallsControllersWithTLS(t *testing.T) {
	controllerFiles := issueFiles(t, "test", keys.RoleController, "c1")
	directory := filepath.Dir(controllerFiles.Authority)
	authority, err := keys.ReadAuthority(directory)
	require.NoError(t, err)
	address := startEncryptedController(t, controllerFiles)
	tests := []struct {
		name    string
		files   settings.TLS
		refused string
	}{
		{"gateway of the fleet", issueWith(t, authority, directory, keys.RoleGateway, "g1"), ""},
		{"another authority", issueFiles(t, "test", keys.RoleGateway, "g1"), "not of this fleet's authority"},
		{"another role", issueWith(t, authority, directory, keys.RoleOperator, "ana"), "bad certificate"},
		{"no TLS", settings.TLS{}, "400 Bad Request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := testSettings(address)
			config.TLS = test.files
			gateway, err := newGateway(config, Options{})
			require.NoError(t, err)
			go gateway.view.run(t.Context())
			_, err = gateway.syncWith(t.Context(), address)
			if test.refused == "" {
				require.NoError(t, err)
				require.Equal(t, uint64(1), gateway.Revision())
				return
			}
			require.ErrorContains(t, err, test.refused)
			require.Zero(t, gateway.Revision())
		})
	}
}

// TestCertificateExpiryIsAMetric replaces a gateway's certificate while it runs.
func TestCertificateExpiryIsAMetric(t *testing.T) {
	config := testSettings("127.0.0.1:1")
	config.TLS = issueFiles(t, "test", keys.RoleGateway, "g1")
	gateway, err := newGateway(config, Options{})
	require.NoError(t, err)
	expires := func() time.Duration {
		families, err := gateway.registry.Gather()
		require.NoError(t, err)
		for _, family := range families {
			if family.GetName() == "hazelpitch_gateway_certificate_expires_timestamp_seconds" {
				return time.Until(time.Unix(int64(family.GetMetric()[0].GetGauge().GetValue()), 0))
			}
		}
		require.Fail(t, "the metric is missing")
		return 0
	}
	require.LessOrEqual(t, expires(), time.Hour)
	directory := filepath.Dir(config.TLS.Authority)
	authority, err := keys.ReadAuthority(directory)
	require.NoError(t, err)
	renewed, err := authority.Issue(keys.RoleGateway, "g1", 100*time.Hour, time.Now())
	require.NoError(t, err)
	_, err = keys.WriteCertificate(directory, "g1", renewed)
	require.NoError(t, err)
	require.Greater(t, expires(), 90*time.Hour)
}

// TestGatewayRefusesCertificatesThatDoNotFit starts with files of two authorities.
func TestGatewayRefusesCertificatesThatDoNotFit(t *testing.T) {
	config := testSettings("127.0.0.1:1")
	config.TLS = issueFiles(t, "test", keys.RoleGateway, "g1")
	config.TLS.Authority = issueFiles(t, "test", keys.RoleGateway, "g1").Authority
	_, err := newGateway(config, Options{})
	require.ErrorContains(t, err, "not of this fleet's authority")
}
