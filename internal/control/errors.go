package control

import "fmt"

// NotLeaderError is the Err of an Answer to a call that only the leader can answer.
type NotLeaderError struct {
	// Leader is the IP:port of the leader as far as this controller knows, or "".
	Leader string
}

// Error names the leader when it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this controller is not the leader and knows none; try another or try again later"
	}
	return fmt.Sprintf("this controller is not the leader; ask %s", e.Leader)
}
