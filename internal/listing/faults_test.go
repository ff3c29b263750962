package listing

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

func TestFaultsAreToldWhenTheyChange(t *testing.T) {
	faults := &Faults{}
	next := func(read serving.Listing, err error, expected string, expectNews bool) {
		t.Helper()
		text, isNews := faults.Update(read, err)
		require.Equal(t, expected, text)
		require.Equal(t, expectNews, isNews)
	}
	odd := serving.Listing{SkippedEntries: []string{"no Slots", "no Zone"}}
	next(serving.Listing{}, nil, "", false)
	next(odd, nil, "2 entries name no back end; the first: no Slots", true)
	next(odd, nil, "2 entries name no back end; the first: no Slots", false)
	next(serving.Listing{}, errors.New("broke off"), "broke off", true)
	next(serving.Listing{}, nil, "", true)
}
