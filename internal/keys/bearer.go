package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

const (
	// bearerPrefix lets people and secret scanners recognize a key.
	bearerPrefix = "hzp_"
	// bearerBytes is the number of random bytes in a key.
	bearerBytes = 32
)

// NewBearerKey generates a random bearer key for a tenant or an operator. The key is displayed
// once and never stored; only its hash is.
func NewBearerKey() string {
	secret := make([]byte, bearerBytes)
	rand.Read(secret) // never fails: see crypto/rand
	return bearerPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// HashBearerKey returns the form in which a bearer key is stored: its SHA-256 hash in lower-case
// hexadecimal. Keys have 256 bits of entropy, so no salt is needed.
func HashBearerKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// BearerKeyMatches reports whether a bearer key has this hash. The comparison takes constant time.
func BearerKeyMatches(bearer, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashBearerKey(bearer)), []byte(hash)) == 1
}
