package listing

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Faults follows what is wrong with readings of the outside list, so that it is told when it changes and not
// with each reading. The zero value has seen nothing wrong.
type Faults struct{ told string }

// Update takes a reading or why it failed, and returns what is to be told: a text, and whether it is news. An empty
// text that is news says that nothing is wrong any more.
func (f *Faults) Update(read serving.Listing, err error) (text string, isNews bool) {
	switch {
	case err != nil:
		text = err.Error()
	case len(read.SkippedEntries) > 0:
		text = fmt.Sprintf("%d entries name no back end; the first: %s", len(read.SkippedEntries), read.SkippedEntries[0])
	}
	isNews = text != f.told
	f.told = text
	return text, isNews
}
