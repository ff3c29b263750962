package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.True(t, For(limited, 999*time.Millisecond))
		require.False(t, For(limited, time.Hour), "the context must end the wait")
	})
}
