package controlstate

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// cacheSalt derives the salt of a tenant's prefix cache from the random bytes of
// the command. Every controller derives the same one; who does not know the bytes
// cannot guess it, and two tenants of one command get different ones.
func cacheSalt(seed []byte, tenant string, revision uint64) string {
	mac := hmac.New(sha256.New, seed)
	mac.Write([]byte("cache salt"))
	mac.Write(binary.BigEndian.AppendUint64(nil, revision))
	mac.Write([]byte(tenant))
	return hex.EncodeToString(mac.Sum(nil))
}
