package controlstate

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// cacheSalt derives the salt of a tenant's prefix cache from the random bytes of the command.
// Every controller derives the same salt, it cannot be guessed without the random bytes, and
// two tenants of one command get different salts.
func cacheSalt(seed []byte, tenant string, revision uint64) string {
	mac := hmac.New(sha256.New, seed)
	mac.Write([]byte("cache salt"))
	mac.Write(binary.BigEndian.AppendUint64(nil, revision))
	mac.Write([]byte(tenant))
	return hex.EncodeToString(mac.Sum(nil))
}
