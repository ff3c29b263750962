package subsetting

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// mixed returns a list of engines with one back end of another service in 30.
func mixed(count int) []Entry {
	list := make([]Entry, count)
	for index := range list {
		list[index] = Entry{Service: "engines", Open: index%10 != 0}
		if index%30 == 29 {
			list[index].Service = "pages"
		}
	}
	return list
}

// How much of a list must be read depends on the wanted numbers, not on its length.
func TestPrefixLengthIsIndependentOfTheList(t *testing.T) {
	wanted := map[string]int{"engines": MinEngines, "pages": MinWholeBackEnds}
	for _, count := range []int{2_000, 10_000, 20_000, 100_000} {
		require.Equal(t, 30*MinWholeBackEnds, PrefixLength(mixed(count), wanted))
	}
	require.Equal(t, 30*MinWholeBackEnds, PrefixLength(mixed(30*MinWholeBackEnds), wanted))
}

// If there are fewer back ends than wanted, the list is read to the last of them.
func TestPrefixIncludesAllIfThereAreFew(t *testing.T) {
	list := append(mixed(300), Entry{Service: "rare", Open: true})
	require.Equal(t, len(list), PrefixLength(list, map[string]int{"engines": 5, "rare": 3}))
	require.Equal(t, 0, PrefixLength(list, nil))
	closed := append(list, Entry{Service: "rare"})
	require.Equal(t, len(list), PrefixLength(closed, map[string]int{"rare": 3}), "closed back ends are not searched for")
}
