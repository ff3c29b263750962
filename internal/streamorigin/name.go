package streamorigin

import (
	"crypto/sha256"
	"encoding/binary"
)

// Name identifies a request among those of all tenants and hosts. It is a hash, so that it tells nothing of the request, and a
// tenant cannot make the name of another tenant's request.
type Name struct{ High, Low uint64 }

// NameOf returns the name of a tenant's request to a host, by the identity that the client gave it.
func NameOf(tenant, host, request string) Name {
	digest := sha256.New()
	for _, part := range []string{tenant, host, request} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // never returns an error
		_, _ = digest.Write([]byte(part))
	}
	sum := digest.Sum(nil)
	return Name{High: binary.BigEndian.Uint64(sum), Low: binary.BigEndian.Uint64(sum[8:])}
}
