package keys

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// clock is a settable clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// newFleet writes an authority and returns it with its directory.
func newFleet(t *testing.T, fleet string) (string, *Authority) {
	t.Helper()
	directory := t.TempDir()
	authority, pair, err := NewAuthority(fleet, startTime)
	require.NoError(t, err)
	require.NoError(t, WriteAuthority(directory, pair))
	return directory, authority
}

// issue writes a certificate that is valid for a day.
func issue(t *testing.T, directory string, authority *Authority, role Role, name string, now time.Time) Files {
	t.Helper()
	pair, err := authority.Issue(role, name, 24*time.Hour, now)
	require.NoError(t, err)
	files, err := WriteCertificate(directory, name, pair)
	require.NoError(t, err)
	return files
}

func load(t *testing.T, files Files, clock *clock) *Credentials {
	t.Helper()
	credentials, err := Load(files, Options{Now: clock.Now})
	require.NoError(t, err)
	return credentials
}

// handshake connects a client and a server and returns the error of each side.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	serverSide, clientSide := net.Pipe()
	defer clientSide.Close()
	done := make(chan error, 1)
	go func() {
		defer serverSide.Close()
		connection := tls.Server(serverSide, server)
		err := connection.Handshake()
		if err == nil {
			_, err = connection.Write([]byte("x"))
		}
		done <- err
	}()
	connection := tls.Client(clientSide, client)
	clientErr = connection.Handshake()
	if clientErr == nil {
		// The client receives the server's refusal of its certificate with the first read.
		_, clientErr = connection.Read(make([]byte, 1))
	}
	clientSide.Close()
	return <-done, clientErr
}
