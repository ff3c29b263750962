package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// withKey returns the headers with the API key added.
func withKey(key string, headers map[string]string) map[string]string {
	sent := map[string]string{"Authorization": "Bearer " + key}
	for name, value := range headers {
		sent[name] = value
	}
	return sent
}

// requireNoInternals checks that an answer contains no salt, key, back end name or address.
func requireNoInternals(t *testing.T, answer callerAnswer) {
	t.Helper()
	text := fmt.Sprint(answer.header) + answer.body
	for _, secret := range []string{"salt-", "engine-one", "page-one", "127.", "X-Engine", "X-Exchange", "secret", otherTestKey, testKey} {
		require.NotContains(t, text, secret)
	}
}

// TestAnotherTenantsAdapter shows that a request for the adapter of another tenant gets the
// same bytes as one for an adapter that does not exist.
func TestAnotherTenantsAdapter(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("engine-one", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	send := func(key, model string) callerAnswer {
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, model)
		return call(t, http.MethodPost, gateway.url+"/v1/chat/completions", body, withKey(key, map[string]string{HeaderKind: "matching"}))
	}
	owner, stranger, missing := send(otherTestKey, "tuned"), send(testKey, "tuned"), send(testKey, "none")
	require.Equal(t, http.StatusOK, owner.status, owner.body)
	require.Equal(t, http.StatusNotFound, stranger.status)
	require.Equal(t, missing.body, stranger.body)
	require.Equal(t, missing.status, stranger.status)
	requireNoInternals(t, stranger)
	requireNoInternals(t, owner)
}

// TestTenantsSalts shows that each tenant's requests reach engines with the cache salt of that tenant.
func TestTenantsSalts(t *testing.T) {
	t.Parallel()
	engine := startEngine(t)
	controller := startController(t, engineBackEnd("engine-one", engine.address(), v1.Role_ROLE_MIXED))
	gateway := startGateway(t, testSettings(controller.address))
	for key, salt := range map[string]string{testKey: "salt-one", otherTestKey: "salt-two"} {
		answer := call(t, http.MethodPost, gateway.url+"/v1/chat/completions", unstreamedBody, withKey(key, map[string]string{HeaderKind: "matching"}))
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		requireNoInternals(t, answer)
		last := engine.requests[len(engine.requests)-1]
		require.Equal(t, salt, last.Header.Get(enginecontract.HeaderCacheSalt))
	}
}

// TestTenantsKeysAreApart shows that two tenants may use the same idempotency key without
// seeing each other's outcomes.
func TestTenantsKeysAreApart(t *testing.T) {
	t.Parallel()
	service := startPage(t, "p1", nil)
	controller := startController(t, pageBackEnd("page-one", service.Address()))
	gateway := startGateway(t, testSettings(controller.address))
	for number, key := range []string{testKey, otherTestKey} {
		answer := call(t, http.MethodPost, gateway.url+"/registrations", "lot=7", withKey(key, map[string]string{enginecontract.HeaderIdempotencyKey: "same"}))
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		require.Empty(t, answer.header.Get(headerReplayed))
		require.Equal(t, number+1, service.Runs().Served)
		requireNoInternals(t, answer)
	}
}

// TestRefusalsTellNothing shows that no refusal names a tenant, a back end or its load.
func TestRefusalsTellNothing(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, refusedNotRun, refusedNotRun)
	controller := startController(t, engineBackEnd("engine-one", engine.address(), v1.Role_ROLE_MIXED), pageBackEnd("page-one", "127.0.0.1:1"))
	gateway := startGateway(t, testSettings(controller.address))
	for name, row := range map[string]struct {
		path, body string
		headers    map[string]string
		status     int
	}{
		"wrong key":          {"/lots/1", "", withKey("not a key", nil), 401},
		"no key":             {"/lots/1", "", map[string]string{"Authorization": ""}, 401},
		"back end down":      {"/lots/1", "", nil, 503},
		"engine refuses":     {"/v1/chat/completions", unstreamedBody, map[string]string{HeaderKind: "matching"}, 503},
		"kind does not fit":  {"/v1/chat/completions", unstreamedBody, map[string]string{HeaderKind: "listing"}, 400},
		"kind is unknown":    {"/v1/chat/completions", unstreamedBody, map[string]string{HeaderKind: "none"}, 400},
		"body is not JSON":   {"/v1/chat/completions", "{", map[string]string{HeaderKind: "matching"}, 400},
		"member twice":       {"/v1/chat/completions", `{"model":"base","model":"x","messages":[]}`, map[string]string{HeaderKind: "matching"}, 400},
		"gateway's member":   {"/v1/chat/completions", `{"model":"base","continue_text":"x","messages":[]}`, map[string]string{HeaderKind: "matching"}, 400},
		"method of the path": {"/v1/chat/completions", "", map[string]string{"X-Method": http.MethodGet}, 405},
	} {
		t.Run(name, func(t *testing.T) {
			method := http.MethodPost
			if row.headers["X-Method"] != "" {
				method = row.headers["X-Method"]
			}
			answer := call(t, method, gateway.url+row.path, row.body, row.headers)
			require.Equal(t, row.status, answer.status, answer.body)
			require.Equal(t, verdict.NotRun.String(), answer.verdict)
			require.Equal(t, verdict.NotRun.String(), answer.errorVerdict)
			require.NotEmpty(t, answer.errorCode)
			requireNoInternals(t, answer)
		})
	}
}
