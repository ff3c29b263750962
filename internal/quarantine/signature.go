package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// SignatureBytes is the length of a signature. It is half of a SHA-256 sum: a tenant must not be able
// to make a request that has another tenant's signature.
const SignatureBytes = 16

// Signature identifies requests that a replica cannot tell apart: the same caller, method, target and
// body. Identity and headers of a request, which change with each retry, are no part of it.
type Signature [SignatureBytes]byte

// SignatureOf returns the signature of a request. The caller is empty where callers are not known.
func SignatureOf(caller, method, target string, body []byte) Signature {
	sum := sha256.New()
	for _, part := range []string{caller, method, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		_, _ = io.WriteString(sum, part) // a hash takes everything
	}
	sum.Write(body)
	var signature Signature
	copy(signature[:], sum.Sum(nil))
	return signature
}

// SignatureFromBytes returns the signature with the bytes of a message; false when they are none.
func SignatureFromBytes(bytes []byte) (signature Signature, valid bool) {
	if len(bytes) != SignatureBytes {
		return Signature{}, false
	}
	return Signature(bytes), true
}

// ParseSignature reads a signature as String writes it; false when it is none.
func ParseSignature(text string) (signature Signature, valid bool) {
	bytes, err := hex.DecodeString(text)
	if err != nil {
		return Signature{}, false
	}
	return SignatureFromBytes(bytes)
}

// String returns the signature in hexadecimal digits, as logs name it.
func (s Signature) String() string { return hex.EncodeToString(s[:]) }
