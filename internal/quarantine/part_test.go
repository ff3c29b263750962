package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPartSignatureDependsOnCallerAndID(t *testing.T) {
	part := PartSignatureOf("tenant", "a1")
	require.True(t, part.IsPart())
	require.Equal(t, part, PartSignatureOf("tenant", "a1"))
	for name, other := range map[string]Signature{
		"caller": PartSignatureOf("other", "a1"), "ID": PartSignatureOf("tenant", "a2"), "shifted": PartSignatureOf("tenanta", "1"),
	} {
		require.NotEqual(t, part, other, name)
	}
	require.False(t, SignatureOf("tenant", "POST", "/", []byte("a1")).IsPart())
}

// Guards against a request with hundreds of parts that costs more than others.
func TestContentHasABoundedNumberOfParts(t *testing.T) {
	var ids []string
	for number := range 10 * maximumContentParts {
		ids = append(ids, fmt.Sprint(number))
	}
	content := ContentOf("tenant", "POST", "/", nil, ids)
	require.Len(t, content.Parts, maximumContentParts)
	require.Equal(t, PartSignatureOf("tenant", "0"), content.Parts[0])
	require.Equal(t, SignatureOf("tenant", "POST", "/", nil), content.Request)
}
