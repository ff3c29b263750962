package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

func TestBearerKeys(t *testing.T) {
	key := NewBearerKey()
	require.NotEqual(t, key, NewBearerKey())
	require.Len(t, HashBearerKey(key), 64)
	require.True(t, BearerKeyMatches(key, HashBearerKey(key)))
	require.False(t, BearerKeyMatches(key+"x", HashBearerKey(key)))
	require.Equal(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", HashBearerKey("abc"))
}

func TestHandshake(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	otherDirectory, otherAuthority := newFleet(t, "rawabi")
	controller := issue(t, directory, authority, RoleController, "controller-a", startTime)
	gateway := issue(t, directory, authority, RoleGateway, "gateway-a", startTime)
	otherClient := issue(t, otherDirectory, otherAuthority, RoleGateway, "gateway-b", startTime)
	anonymous := Files{Authority: gateway.Authority}

	tests := map[string]struct {
		client         Files
		clientFleet    string
		serverFleet    string
		roles          []Role
		clientRoles    []Role
		allowAnonymous bool
		later          time.Duration
		serverRefusal  Refusal
		clientRefusal  Refusal
	}{
		"accepted":                      {client: gateway},
		"role not allowed":              {client: gateway, roles: []Role{RoleController}, serverRefusal: RefusalWrongRole},
		"server's role not allowed":     {client: gateway, clientRoles: []Role{RoleGateway}, clientRefusal: RefusalWrongRole},
		"server of another fleet":       {client: gateway, clientFleet: "empleandes", clientRefusal: RefusalWrongFleet},
		"client of another fleet":       {client: gateway, serverFleet: "empleandes", serverRefusal: RefusalWrongFleet},
		"another authority":             {client: otherClient, clientRefusal: RefusalUnknownAuthority},
		"no certificate":                {client: anonymous, serverRefusal: "-"},
		"no certificate, where allowed": {client: anonymous, allowAnonymous: true},
		"certificate where optional":    {client: gateway, allowAnonymous: true, roles: []Role{RoleController}, serverRefusal: RefusalWrongRole},
		"server expired":                {client: anonymous, allowAnonymous: true, later: 25 * time.Hour, serverRefusal: RefusalExpired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := &clock{now: startTime}
			server := load(t, controller, now)
			client := load(t, test.client, now)
			now.now = startTime.Add(test.later)
			orDefaultFleet := func(fleet string) string {
				if fleet == "" {
					return "rawabi"
				}
				return fleet
			}
			roles, clientRoles := test.roles, test.clientRoles
			if roles == nil {
				roles = []Role{RoleGateway}
			}
			if clientRoles == nil {
				clientRoles = []Role{RoleController}
			}
			serverErr, clientErr := handshake(
				server.ServerConfig(orDefaultFleet(test.serverFleet), test.allowAnonymous, roles...),
				client.ClientConfig(orDefaultFleet(test.clientFleet), clientRoles...))
			requireRefusal(t, test.serverRefusal, serverErr, test.clientRefusal == "")
			requireRefusal(t, test.clientRefusal, clientErr, test.serverRefusal == "")
		})
	}
}

// requireRefusal checks the error of one side of a handshake; "-" means a refusal by the TLS library.
func requireRefusal(t *testing.T, want Refusal, err error, otherSideAccepts bool) {
	t.Helper()
	var refused *PeerError
	switch {
	case want == "-":
		require.Error(t, err)
	case want != "":
		require.True(t, errors.As(err, &refused), "got %v", err)
		require.Equal(t, want, refused.Refusal)
	case otherSideAccepts:
		require.NoError(t, err)
	default:
		require.Error(t, err)
	}
}

func TestExpiredProcessCertificateIsNotUsed(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	files := issue(t, directory, authority, RoleGateway, "gateway-a", startTime)
	now := &clock{now: startTime}
	gateway := load(t, files, now)
	now.now = startTime.Add(25 * time.Hour)
	_, err := gateway.ClientConfig("rawabi", RoleController).GetClientCertificate(nil)
	require.ErrorContains(t, err, "valid from 2026-03-01T11:55:00Z to 2026-03-02T12:00:00Z, and it is 2026-03-02T13:00:00Z")
	_, err = Load(files, Options{Now: now.Now})
	require.ErrorContains(t, err, "its certificate has expired")
}

func TestReplacedFilesAreLoadedWithoutRestart(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	controller := issue(t, directory, authority, RoleController, "controller-a", startTime)
	gateway := issue(t, directory, authority, RoleGateway, "gateway-a", startTime)
	now := &clock{now: startTime}
	server, client := load(t, controller, now), load(t, gateway, now)
	serverConfig := server.ServerConfig("rawabi", false, RoleGateway)
	clientConfig := client.ClientConfig("rawabi", RoleController)

	now.now = startTime.Add(25 * time.Hour)
	serverErr, _ := handshake(serverConfig, clientConfig)
	require.Error(t, serverErr)

	issue(t, directory, authority, RoleController, "controller-a", now.now)
	issue(t, directory, authority, RoleGateway, "gateway-a", now.now)
	serverErr, clientErr := handshake(serverConfig, clientConfig)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

func TestPartlyReplacedFilesKeepCurrentPair(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	files := issue(t, directory, authority, RoleGateway, "gateway-a", startTime)
	now := &clock{now: startTime}
	var reloadErr error
	credentials, err := Load(files, Options{Now: now.Now, OnReloadError: func(err error) { reloadErr = err }})
	require.NoError(t, err)
	other, err := authority.Issue(RoleGateway, "gateway-a", 48*time.Hour, startTime)
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(files.Key, other.Key, 0o600))
	first, err := credentials.processCertificate()
	require.NoError(t, err)
	require.Equal(t, startTime.Add(24*time.Hour), first.Leaf.NotAfter)
	require.ErrorContains(t, reloadErr, "do not fit")

	require.NoError(t, os.WriteFile(files.Certificate, other.Certificate, 0o644))
	second, err := credentials.processCertificate()
	require.NoError(t, err)
	require.Equal(t, startTime.Add(48*time.Hour), second.Leaf.NotAfter)
}

func TestTwoAuthoritiesAreTrustedWhileOneIsReplaced(t *testing.T) {
	oldDirectory, oldAuthority := newFleet(t, "rawabi")
	newDirectory, newAuthority := newFleet(t, "rawabi")
	server := issue(t, oldDirectory, oldAuthority, RoleController, "controller-a", startTime)
	client := issue(t, newDirectory, newAuthority, RoleGateway, "gateway-a", startTime)
	oldPEM, err := os.ReadFile(server.Authority)
	require.NoError(t, err)
	newPEM, err := os.ReadFile(client.Authority)
	require.NoError(t, err)
	both := filepath.Join(t.TempDir(), AuthorityCertificateFile)
	require.NoError(t, os.WriteFile(both, append(oldPEM, newPEM...), 0o644))
	server.Authority, client.Authority = both, both
	now := &clock{now: startTime}
	serverErr, clientErr := handshake(
		load(t, server, now).ServerConfig("rawabi", false, RoleGateway),
		load(t, client, now).ClientConfig("rawabi", RoleController))
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
}

func TestAuthorityRefusesBadRequests(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	again, err := ReadAuthority(directory)
	require.NoError(t, err)
	require.Equal(t, "rawabi", again.Fleet)
	require.True(t, trace.IsAlreadyExists(WriteAuthority(directory, KeyPair{})))
	info, err := os.Stat(filepath.Join(directory, AuthorityKeyFile))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())

	tests := map[string]struct {
		role     Role
		name     string
		validity time.Duration
		want     string
	}{
		"unknown role":      {"planner", "a", time.Hour, "unknown role"},
		"bad name":          {RoleGateway, "a/b", time.Hour, "is not a name"},
		"no validity":       {RoleGateway, "a", 0, "not a positive duration"},
		"outlives issuer":   {RoleGateway, "a", 20 * AuthorityValidity, "would outlive the authority"},
		"control character": {RoleGateway, "a\n", time.Hour, "is not a name"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := authority.Issue(test.role, test.name, test.validity, startTime)
			require.ErrorContains(t, err, test.want)
			require.True(t, trace.IsBadParameter(err))
		})
	}
}

func TestRequireRole(t *testing.T) {
	directory, authority := newFleet(t, "rawabi")
	files := issue(t, directory, authority, RoleGateway, "gateway-a", startTime)
	certificate, err := load(t, files, &clock{now: startTime}).processCertificate()
	require.NoError(t, err)
	tests := map[string]struct {
		state *tls.ConnectionState
		roles []Role
		want  int
		text  string
	}{
		"without TLS":         {nil, []Role{RoleController}, http.StatusOK, ""},
		"role":                {&tls.ConnectionState{PeerCertificates: toChain(certificate)}, []Role{RoleGateway}, http.StatusOK, ""},
		"another role":        {&tls.ConnectionState{PeerCertificates: toChain(certificate)}, []Role{RoleController}, http.StatusForbidden, "its role may not do this"},
		"without certificate": {&tls.ConnectionState{}, []Role{RoleGateway}, http.StatusForbidden, "it showed no certificate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			handler := RequireRole(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "rawabi", test.roles...)
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Connect-Protocol-Version", "1")
			request.TLS = test.state
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			require.Equal(t, test.want, recorder.Code)
			require.Contains(t, recorder.Body.String(), test.text)
			if test.want == http.StatusForbidden {
				require.Contains(t, recorder.Body.String(), connect.CodePermissionDenied.String())
			}
		})
	}
}

func toChain(certificate *tls.Certificate) []*x509.Certificate {
	return []*x509.Certificate{certificate.Leaf}
}
