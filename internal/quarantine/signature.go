package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// SignatureBytes is the length of a signature. It is half of a SHA-256 hash, so that a tenant cannot construct a
// request with the signature of another tenant's request.
const SignatureBytes = 16

// Signature identifies requests that a replica cannot distinguish: those with the same caller, method, target and
// body. The identity and the headers of a request change with each retry and are not included.
type Signature [SignatureBytes]byte

// SignatureOf returns the signature of a request. caller is empty if callers are unknown.
func SignatureOf(caller, method, target string, body []byte) Signature {
	sum := sha256.New()
	for _, field := range []string{caller, method, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		sum.Write(length[:])
		_, _ = io.WriteString(sum, field) // a hash never fails to write
	}
	sum.Write(body)
	var signature Signature
	copy(signature[:], sum.Sum(nil))
	return signature
}

// SignatureFromBytes returns the signature in a message; false if it has the wrong length.
func SignatureFromBytes(bytes []byte) (signature Signature, valid bool) {
	if len(bytes) != SignatureBytes {
		return Signature{}, false
	}
	return Signature(bytes), true
}

// ParseSignature parses a signature in the format of String; false if it is malformed.
func ParseSignature(text string) (signature Signature, valid bool) {
	bytes, err := hex.DecodeString(text)
	if err != nil {
		return Signature{}, false
	}
	return SignatureFromBytes(bytes)
}

// String returns the signature in hexadecimal, as it appears in logs.
func (s Signature) String() string { return hex.EncodeToString(s[:]) }
