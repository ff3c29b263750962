package gatewaycost

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRead shows that only a whole stream counts, and that only its token events do.
func TestRead(t *testing.T) {
	token := `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	finish := `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	done := "data: [DONE]\n\n"
	tests := []struct {
		name   string
		stream string
		tokens int
		whole  bool
	}{
		{"whole", token + token + finish + done, 2, true},
		{"cut", token + finish, 1, false},
		{"error", token + `data: {"error":{"code":"deadline_exceeded"}}` + "\n\n" + done, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen, err := read(bufio.NewReader(strings.NewReader(test.stream)))
			require.Equal(t, test.whole, err == nil)
			require.Equal(t, test.tokens, seen.tokens)
		})
	}
}

func TestCutsOf(t *testing.T) {
	require.Equal(t, 3*16, cutsOf(3, 300))
	require.Equal(t, 3, cutsOf(3, 10))
}
