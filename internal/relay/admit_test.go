package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// twoTenants returns the tenants of the test relay.
func twoTenants() []serving.Tenant {
	return []serving.Tenant{{Name: "one", Keys: []string{"k1", "k1-next"}}, {Name: "two", Keys: []string{"k2"}, Priority: 1}}
}

func open(route *serving.Route) { route.Open = true }

func TestKeysAdmitTheirTenants(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(200, "ok"))
	client := newKeyedRelay(t, route(nil), twoTenants(), backEnd).client(t)
	for key, tenant := range map[string]string{"k1": "one", "k1-next": "one", "k2": "two"} {
		require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: key "+key, "T-Tenant: two", "t-tenant: one").status)
		seen := backEnd.receivedRequests()
		head := seen[len(seen)-1].head
		require.Equal(t, [][]byte{[]byte(tenant)}, head.PeekAll("T-Tenant"), "the relay's header replaces the client's")
		require.Empty(t, head.Peek("T-Key"))
	}
}

// refusedKeys are the header lines of requests that no relay admits.
var refusedKeys = map[string][]string{
	"no key":                           nil,
	"an unknown key":                   {"T-Key: key nobody"},
	"a key with different case":        {"T-Key: key K1"},
	"another scheme":                   {"T-Key: basic k1"},
	"an empty key":                     {"T-Key: key "},
	"two different keys":               {"T-Key: key k1", "T-Key: key k2"},
	"the same key twice":               {"T-Key: key k1", "t-key: key k1"},
	"only the tenant's name":           {"T-Tenant: one"},
	"a key header named in Connection": {"Connection: T-Key"},
}

func TestOthersAreNotAdmitted(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(200, "ok"))
	relay := newKeyedRelay(t, route(nil), twoTenants(), backEnd)
	client := relay.client(t)
	for name, headers := range refusedKeys {
		answer := client.do("GET", "/path/", "", headers...)
		require.Equal(t, 401, answer.status, name)
		require.Equal(t, "Bearer", string(answer.head.Peek("WWW-Authenticate")), name)
		require.NotContains(t, answer.body, "k1", name)
	}
	require.Empty(t, backEnd.receivedRequests(), "no request was run")

	relay.lastContactAt.Store(int64(-time.Hour))
	for name, headers := range refusedKeys {
		answer := client.do("GET", "/path/", "", headers...)
		require.Equal(t, 503, answer.status, "%s: a newer configuration may admit it", name)
		require.NotEmpty(t, answer.head.Peek("Retry-After"), name)
	}
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: key k1").status, "a known key is still accepted")
}

func TestOpenRouteAdmitsRequestsWithoutAKey(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(200, "ok"))
	client := newKeyedRelay(t, route(open), twoTenants(), backEnd).client(t)
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Tenant: one").status)
	require.Empty(t, backEnd.receivedRequests()[0].head.Peek("T-Tenant"), "an anonymous request")
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: key k2").status)
	require.Equal(t, "two", string(backEnd.receivedRequests()[1].head.Peek("T-Tenant")))
	require.Equal(t, 401, client.do("GET", "/path/", "", "T-Key: key nobody").status)
	require.Len(t, backEnd.receivedRequests(), 2)
}

// Without tenants there are no keys, and the relay forwards the client's header unchanged.
func TestKeyHeaderIsForwardedWithoutTenants(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(200, "ok"))
	client := newTestRelay(t, route(nil), backEnd).client(t)
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: anything", "T-Tenant: one").status)
	require.Equal(t, "anything", string(backEnd.receivedRequests()[0].head.Peek("T-Key")))
	require.Empty(t, backEnd.receivedRequests()[0].head.Peek("T-Tenant"))
}

// A relay with a newer configuration refuses a key that the configuration has removed.
func TestAKeyThatIsTakenAwayIsRefused(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(200, "ok"))
	relay := newKeyedRelay(t, route(nil), twoTenants(), backEnd)
	client := relay.client(t)
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: key k2").status)
	changed := *relay.view.Load().table.Configuration
	changed.Number, changed.Tenants = 2, twoTenants()[:1]
	next := *relay.view.Load()
	next.table = serving.NewTable(&changed)
	relay.view.Store(&next)
	require.Equal(t, 401, client.do("GET", "/path/", "", "T-Key: key k2").status)
	require.Equal(t, 200, client.do("GET", "/path/", "", "T-Key: key k1").status)
}

// Neither a log line nor a metric contains a key.
func TestKeysAreNotWritten(t *testing.T) {
	backEnd := startBackEnd(t, "b", serving.StageWhole, answering(500, "failed"))
	relay := newKeyedRelay(t, route(nil), twoTenants(), backEnd)
	var lines bytes.Buffer
	relay.log.logger = zerolog.New(&lines)
	client := relay.client(t)
	client.do("GET", "/path/", "", "T-Key: key k1")
	client.do("GET", "/path/", "", "T-Key: key stranger")
	families, err := relay.metrics.registry.Gather()
	require.NoError(t, err)
	written := lines.String()
	for _, family := range families {
		written += family.String()
	}
	require.Contains(t, written, `"tenant":"one"`)
	require.Contains(t, written, string(keyUnknown))
	require.NotContains(t, written, "k1")
	require.NotContains(t, written, "stranger")
}

// relayOnlyHeaders are the headers that only relays may set, except those that they always set.
var relayOnlyHeaders = []string{"T-Rank", "T-Stage", "T-Source", "T-Fetch", "T-Pin", "T-Tenant", "T-Key"}

// However a client writes the headers that only relays may set, none of them reaches a back end.
func FuzzClientsCannotSetTheRelaysHeaders(f *testing.F) {
	f.Add("t-pin: 9\r\n")
	f.Add("T-PIN: 1\r\nT-Pin: 2\r\n")
	f.Add("Connection: T-Tenant, close\r\nT-Tenant: two\r\n")
	f.Add("Trailer: T-Tenant\r\nT-SOURCE:1.2.3.4:5/x\r\n")
	f.Add("T-Key:key  k1\r\nT-Tenant:\ttwo\r\n")
	f.Add("T-Tenant : two\r\n")
	f.Add(" T-Tenant: two\r\n")
	dialect := testDialect()
	relay := &Relay{dialect: dialect, singleValueHeaders: singleValueHeaders(dialect.Headers)}
	writer := newRequestWriter(dialect.Headers)
	f.Fuzz(func(t *testing.T, lines string) {
		head := readHead(relay, "GET /path/ HTTP/1.1\r\nHost: test\r\nT-Id: x\r\n"+lines+"\r\n")
		if head == nil {
			return // the relay refuses the head
		}
		message := writer.head(&request{header: head, method: "GET", target: "/path/", host: "test", usesKeys: true}, "1.2.3.4:5",
			[]header{{dialect.Headers.Tenant, "one"}})
		again := readHead(relay, string(message))
		if again == nil {
			t.Fatalf("the message cannot be read: %q", message)
		}
		for _, name := range relayOnlyHeaders {
			want := 0
			if name == dialect.Headers.Tenant {
				want = 1
			}
			if got := len(again.PeekAll(name)); got != want {
				t.Fatalf("%s appears %d times in %q", name, got, message)
			}
		}
		if strings.Contains(string(again.Peek(dialect.Headers.Tenant)), "two") {
			t.Fatalf("the client's tenant was forwarded in %q", message)
		}
	})
}
