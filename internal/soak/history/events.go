package history

import "strings"

// WholeEvents returns the events in the body of a stream, without one that the end of the body cuts off.
func WholeEvents(body string) []string {
	events := strings.Split(body, "\n\n")
	return events[:len(events)-1] // what follows the last empty line is no whole event
}
