package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
)

const (
	bearerPrefix = "Bearer "
	// defaultKeyCheckTimeout bounds the wait for the controllers to resolve an unknown API key.
	defaultKeyCheckTimeout = 2500 * time.Millisecond
	// maximumKeyLength bounds the length in bytes of a key that is hashed.
	maximumKeyLength = 256
)

// authenticate returns the tenant that owns the caller's API key.
func (g *Gateway) authenticate(header *fasthttp.RequestHeader) (*gatewaystate.Tenant, *refusal) {
	key, ok := strings.CutPrefix(string(header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !ok || key == "" || len(key) > maximumKeyLength {
		return nil, refuseKey()
	}
	sum := sha256.Sum256([]byte(key))
	return g.tenantOfKey(hex.EncodeToString(sum[:]))
}

// tenantOfKey returns the tenant that owns the key with this hash. It queries the controllers when the hash is not
// in the snapshot.
func (c *Control) tenantOfKey(keyHash string) (*gatewaystate.Tenant, *refusal) {
	tenant, status := c.view.snapshot.Load().Tenant(keyHash)
	if status == gatewaystate.KeyUnknown {
		status = c.lookUpKey(keyHash)
		tenant, _ = c.view.snapshot.Load().Tenant(keyHash)
	}
	switch {
	case status == gatewaystate.KeyRejected:
		return nil, refuseKey()
	case tenant == nil:
		return nil, refuse(http.StatusServiceUnavailable, typeServer, codeKeyNotChecked,
			"the API key could not be checked now").after(time.Second)
	}
	tenant.MarkUsed(c.clock.now())
	return tenant, nil
}

// lookUpKey queries the controllers for an unknown key and waits for the result, at most keyCheckTimeout.
func (c *Control) lookUpKey(keyHash string) gatewaystate.KeyStatus {
	command := keyLookup{keyHash: keyHash, reply: make(chan gatewaystate.KeyStatus, 1)}
	timer := time.NewTimer(c.keyCheckTimeout)
	defer timer.Stop()
	select {
	case c.view.commands <- command:
	case <-timer.C:
		return gatewaystate.KeyUnknown
	}
	select {
	case status := <-command.reply:
		return status
	case <-timer.C:
		c.view.trySend(cancelKeyLookup(command))
		return gatewaystate.KeyUnknown
	}
}

func refuseKey() *refusal {
	return refuse(http.StatusUnauthorized, typeAuthentication, codeInvalidKey,
		"send a valid API key in the Authorization header as a bearer token")
}
