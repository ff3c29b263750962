package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

const (
	// bearerPrefix lets people and secret scanners recognise a key.
	bearerPrefix = "hzp_"
	// bearerBytes is the entropy of a key.
	bearerBytes = 32
)

// NewBearerKey makes a random bearer key for a tenant or an operator. It is shown
// once and never stored; only its Hash is.
func NewBearerKey() string {
	secret := make([]byte, bearerBytes)
	rand.Read(secret) // never fails: see crypto/rand
	return bearerPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// HashBearerKey is the form in which a bearer key is stored: SHA-256 in lower-case
// hexadecimal. Keys have 256 bits of entropy, so that no salt is needed.
func HashBearerKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// BearerKeyMatches reports in constant time whether a bearer key has this hash.
func BearerKeyMatches(bearer, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashBearerKey(bearer)), []byte(hash)) == 1
}
