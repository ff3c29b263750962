package check

import "fmt"

// Share counts events and those among them that were served.
type Share struct{ Served, All int }

// String formats the share as "9 of 10 served".
func (s Share) String() string { return fmt.Sprintf("%d of %d served", s.Served, s.All) }

// with returns the share with one more event.
func (s Share) with(served bool) Share {
	s.All++
	if served {
		s.Served++
	}
	return s
}

// isAtLeast reports whether at least the given share was served.
func (s Share) isAtLeast(share float64) bool { return float64(s.Served) >= share*float64(s.All) }
