package gateway

import (
	"crypto/tls"
	"log"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// issueFiles creates a new fleet authority in a new directory and issues a
// certificate for the name.
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

// serverErrors collects the error log of a server. It is safe for concurrent use.
type serverErrors struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (e *serverErrors) Write(line []byte) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.Write(line)
}

func (e *serverErrors) contain(text string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return strings.Contains(e.text.String(), text)
}

// startEncryptedController serves like startController, but with TLS and only for gateways.
func startEncryptedController(t *testing.T, files settings.TLS) (string, *serverErrors) {
	t.Helper()
	credentials, err := keys.Load(keys.Files{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}, keys.Options{})
	require.NoError(t, err)
	path, handler := hazelpitchv1connect.NewNodeServiceHandler(startController(t))
	routes := http.NewServeMux()
	routes.Handle(path, handler)
	server := httptest.NewUnstartedServer(routes)
	server.Listener = tls.NewListener(server.Listener, credentials.ServerConfig("test", false, keys.RoleGateway))
	serverLog := &serverErrors{}
	server.Config.ErrorLog = log.New(serverLog, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), serverLog
}

// TestGatewayCallsControllersWithTLS sends heartbeats with certificates of the fleet, and with
// certificates that one of the two sides must refuse.
func TestGatewayCallsControllersWithTLS(t *testing.T) {
	controllerFiles := issueFiles(t, "test", keys.RoleController, "c1")
	directory := filepath.Dir(controllerFiles.Authority)
	authority, err := keys.ReadAuthority(directory)
	require.NoError(t, err)
	address, serverLog := startEncryptedController(t, controllerFiles)
	tests := []struct {
		name    string
		files   settings.TLS
		refused string
		// controllerError is what the controller logs when it refuses. In TLS 1.3 a client may
		// write its request before the alert arrives, and then sees a broken connection instead of
		// the alert.
		controllerError string
	}{
		{name: "gateway of the fleet", files: issueWith(t, authority, directory, keys.RoleGateway, "g1")},
		{name: "another authority", files: issueFiles(t, "test", keys.RoleGateway, "g1"), refused: "not of this fleet's authority"},
		{name: "another role", files: issueWith(t, authority, directory, keys.RoleOperator, "ana"),
			refused: "sync with controller", controllerError: "hazelpitch://test/operator/ana refused: its role may not do this"},
		{name: "no TLS", refused: "400 Bad Request"},
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
			require.Eventually(t, func() bool { return serverLog.contain(test.controllerError) }, eventually, often)
			require.Zero(t, gateway.Revision())
		})
	}
}

// TestCertificateExpiryIsAMetric replaces the certificate of a running gateway and reads the metric.
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

// TestGatewayRefusesCertificatesOfAnotherAuthority starts a gateway with files of two authorities.
func TestGatewayRefusesCertificatesOfAnotherAuthority(t *testing.T) {
	config := testSettings("127.0.0.1:1")
	config.TLS = issueFiles(t, "test", keys.RoleGateway, "g1")
	config.TLS.Authority = issueFiles(t, "test", keys.RoleGateway, "g1").Authority
	_, err := newGateway(config, Options{})
	require.ErrorContains(t, err, "not of this fleet's authority")
}
