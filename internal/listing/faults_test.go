package listing

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

func TestFaultsAreToldWhenTheyChange(t *testing.T) {
	faults := &Faults{}
	requireUpdate := func(read serving.Listing, err error, expected string, expectChanged bool) {
		t.Helper()
		text, changed := faults.Update(read, err)
		require.Equal(t, expected, text)
		require.Equal(t, expectChanged, changed)
	}
	odd := serving.Listing{SkippedEntries: []string{"no Slots", "no Zone"}}
	requireUpdate(serving.Listing{}, nil, "", false)
	requireUpdate(odd, nil, "2 entries name no back end; the first: no Slots", true)
	requireUpdate(odd, nil, "2 entries name no back end; the first: no Slots", false)
	requireUpdate(serving.Listing{}, errors.New("broke off"), "broke off", true)
	requireUpdate(serving.Listing{}, nil, "", true)
}
