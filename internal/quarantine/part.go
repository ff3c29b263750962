package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// partMark begins the signature of a part. The signature of a request, a hash, begins with it by chance once in 2^48.
var partMark = [6]byte{'p', 'r', 'o', 'm', 'p', 't'}

// maximumContentParts limits the parts of one request that are considered.
const maximumContentParts = 32

// Content identifies what a replica processes for a request: the request as a whole, and the parts of its prompt that other
// requests may share. A replica may crash because of either.
type Content struct {
	Request Signature
	Parts   []Signature
}

// ContentOf returns the content of a request. partIDs are the IDs of the shared parts of its prompt; those beyond
// maximumContentParts are ignored.
func ContentOf(caller, method, target string, body []byte, partIDs []string) Content {
	content := Content{Request: SignatureOf(caller, method, target, body)}
	for _, id := range partIDs[:min(len(partIDs), maximumContentParts)] {
		content.Parts = append(content.Parts, PartSignatureOf(caller, id))
	}
	return content
}

// PartSignatureOf returns the signature of a part of a caller's prompts. The parts of different callers differ, so that no tenant
// can have another tenant's part quarantined.
func PartSignatureOf(caller, id string) Signature {
	sum := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	sum.Write(length[:])
	_, _ = io.WriteString(sum, caller) // a hash never fails to write
	_, _ = io.WriteString(sum, id)
	var signature Signature
	copy(signature[:], partMark[:])
	copy(signature[len(partMark):], sum.Sum(nil))
	return signature
}

// IsPart reports whether the signature is that of a part of prompts.
func (s Signature) IsPart() bool { return [len(partMark)]byte(s[:len(partMark)]) == partMark }
