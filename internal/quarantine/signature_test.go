package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSignatureDependsOnCallerMethodTargetAndBody(t *testing.T) {
	base := SignatureOf("tenant", "POST", "/path/a?b", []byte("body"))
	require.Equal(t, base, SignatureOf("tenant", "POST", "/path/a?b", []byte("body")))
	for name, other := range map[string]Signature{
		"caller":                   SignatureOf("another", "POST", "/path/a?b", []byte("body")),
		"method":                   SignatureOf("tenant", "PUT", "/path/a?b", []byte("body")),
		"target":                   SignatureOf("tenant", "POST", "/path/a?c", []byte("body")),
		"body":                     SignatureOf("tenant", "POST", "/path/a?b", []byte("bodz")),
		"no caller":                SignatureOf("", "POST", "/path/a?b", []byte("body")),
		"shifted between parts":    SignatureOf("tenantP", "OST", "/path/a?b", []byte("body")),
		"target shifted to a body": SignatureOf("tenant", "POST", "/path/a?", []byte("bbody")),
	} {
		require.NotEqual(t, base, other, name)
	}
}

func TestSignatureEncoding(t *testing.T) {
	signature := SignatureOf("", "GET", "/", nil)
	again, valid := SignatureFromBytes(signature[:])
	require.True(t, valid)
	require.Equal(t, signature, again)
	require.Len(t, signature.String(), 2*SignatureBytes)
	parsed, valid := ParseSignature(signature.String())
	require.True(t, valid)
	require.Equal(t, signature, parsed)
	for _, text := range []string{"", "zz", "0a1b", signature.String() + "00"} {
		_, valid = ParseSignature(text)
		require.False(t, valid, text)
	}
	_, valid = SignatureFromBytes(signature[1:])
	require.False(t, valid)
}

// BenchmarkSignature measures the signature of a long prompt of 17 KB.
func BenchmarkSignature(b *testing.B) {
	body := make([]byte, 17_000)
	for b.Loop() {
		SignatureOf("tenant", "POST", "/path/a?b", body)
	}
}
