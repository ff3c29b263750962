package gatewaycost

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadStream checks that only a complete stream is accepted and only token events are counted.
func TestReadStream(t *testing.T) {
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
			seen, err := readStream(bufio.NewReader(strings.NewReader(test.stream)))
			require.Equal(t, test.whole, err == nil)
			require.Equal(t, test.tokens, seen.tokens)
		})
	}
}

func TestMaxCuts(t *testing.T) {
	require.Equal(t, 3*16, maxCuts(3, 300))
	require.Equal(t, 3, maxCuts(3, 10))
}
