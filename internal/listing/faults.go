package listing

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// Faults tracks the faults in reads of the external list, so that a fault is reported when it changes and
// not with each read. The zero value has no fault.
type Faults struct{ lastReported string }

// Update records the result of a read, or the error of a failed one. It returns the current fault and whether
// it changed since the last read. A change to an empty text means that the fault is gone.
func (f *Faults) Update(reading serving.Listing, err error) (text string, changed bool) {
	switch {
	case err != nil:
		text = err.Error()
	case len(reading.SkippedEntries) > 0:
		text = fmt.Sprintf("%d entries name no back end; the first: %s", len(reading.SkippedEntries), reading.SkippedEntries[0])
	}
	changed = text != f.lastReported
	f.lastReported = text
	return text, changed
}
