package lines

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAppend reads lines around the size of the buffer.
func TestAppend(t *testing.T) {
	const bufferSize, limit = 16, 64
	for length := range 3 * bufferSize {
		line := strings.Repeat("x", length) + "\n"
		source := bufio.NewReaderSize(strings.NewReader(line+line+"end"), bufferSize)
		for range 2 {
			read, err := Append([]byte("before:"), source, limit)
			require.NoError(t, err)
			require.Equal(t, "before:"+line, string(read))
		}
		read, err := Append(nil, source, limit)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, "end", string(read))
	}
	_, err := Append(nil, bufio.NewReaderSize(strings.NewReader(strings.Repeat("x", limit+1)), bufferSize), limit)
	require.ErrorIs(t, err, ErrTooLong)
}
