package controller

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// credentialsOf issues a certificate of the authority and loads it from the directory.
func credentialsOf(t *testing.T, authority *keys.Authority, directory string, role keys.Role, name string, issuedAt time.Time) *keys.Credentials {
	t.Helper()
	pair, err := authority.Issue(role, name, time.Hour, issuedAt)
	require.NoError(t, err)
	files, err := keys.WriteCertificate(directory, name, pair)
	require.NoError(t, err)
	credentials, err := keys.Load(files, keys.Options{Now: func() time.Time { return issuedAt }})
	require.NoError(t, err)
	return credentials
}

// A controller refuses peers with a wrong role or an expired certificate: the log ring must name
// the peer and the reason.
func TestRefusedPeersAreLoggedWithTheReason(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "authority")
	now := time.Now()
	_, pair, err := keys.NewAuthority("test", now.Add(-48*time.Hour))
	require.NoError(t, err)
	require.NoError(t, keys.WriteAuthority(directory, pair))
	authority, err := keys.ReadAuthority(directory)
	require.NoError(t, err)
	server := credentialsOf(t, authority, directory, keys.RoleController, "c1", now)

	log := logring.New("c1", settings.Log{RingEntries: 8, DumpDirectory: t.TempDir()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- serveHTTP(ctx, listener, http.NotFoundHandler(), server.ServerConfig("test", false, keys.RoleController), newServerLogger(log))
	}()
	t.Cleanup(func() { stop(); require.NoError(t, <-served) })
	for reason, client := range map[string]*keys.Credentials{
		"gateway/g1 refused: its role may not do this":              credentialsOf(t, authority, directory, keys.RoleGateway, "g1", now),
		"controller/old refused: its certificate has expired or is": credentialsOf(t, authority, directory, keys.RoleController, "old", now.Add(-24*time.Hour)),
	} {
		config := client.ClientConfig("test", keys.RoleController)
		config.VerifyConnection = nil // the test is about the server's check, not the client's
		conn, err := tls.Dial("tcp", listener.Addr().String(), config)
		if err == nil {
			_ = conn.Close()
		}
		require.Eventually(t, func() bool {
			var entries bytes.Buffer
			require.NoError(t, log.WriteRecent(&entries))
			return bytes.Contains(entries.Bytes(), []byte(reason))
		}, time.Minute, 5*time.Millisecond, reason)
	}
}
