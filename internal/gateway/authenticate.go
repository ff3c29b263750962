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
	// defaultKeyCheckTimeout bounds the wait for controllers to say whose key it is.
	defaultKeyCheckTimeout = 2500 * time.Millisecond
	// maximumKeyLength bounds what is hashed.
	maximumKeyLength = 256
)

// authenticate returns the tenant that the caller's key belongs to.
func (g *Gateway) authenticate(header *fasthttp.RequestHeader) (*gatewaystate.Tenant, *refusal) {
	key, ok := strings.CutPrefix(string(header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !ok || key == "" || len(key) > maximumKeyLength {
		return nil, refuseKey()
	}
	sum := sha256.Sum256([]byte(key))
	return g.tenantOfKey(hex.EncodeToString(sum[:]))
}

// tenantOfKey returns the tenant that a key's hash belongs to; it asks the controllers
// about a hash that is not known here.
func (c *Control) tenantOfKey(keyHash string) (*gatewaystate.Tenant, *refusal) {
	tenant, status := c.view.snapshot.Load().Tenant(keyHash)
	if status == gatewaystate.KeyUnknown {
		status = c.askForKey(keyHash)
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

// askForKey waits until a controller has said whose key it is, within the control's bound.
func (c *Control) askForKey(keyHash string) gatewaystate.KeyStatus {
	command := meetKey{keyHash: keyHash, reply: make(chan gatewaystate.KeyStatus, 1)}
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
		c.view.offer(forgetWaiting(command))
		return gatewaystate.KeyUnknown
	}
}

func refuseKey() *refusal {
	return refuse(http.StatusUnauthorized, typeAuthentication, codeInvalidKey,
		"send a valid API key in the Authorization header as a bearer token")
}
