// Package safeguard names the mechanisms that keep hazelpitch's promises, so that
// tests can switch one off and show that the promise then breaks. Processes always
// run with the zero Set, in which every safeguard is on; no setting reaches it.
package safeguard

// Safeguard is one mechanism that a test may switch off.
type Safeguard string

// Set is the set of safeguards that are switched off. The zero Set switches none
// off. A Set is not changed after it has been handed out.
type Set struct {
	off map[Safeguard]bool
}

// Without returns a Set in which the named safeguards are switched off.
func Without(safeguards ...Safeguard) Set {
	off := make(map[Safeguard]bool, len(safeguards))
	for _, safeguard := range safeguards {
		off[safeguard] = true
	}
	return Set{off: off}
}

// IsEnabled reports whether the safeguard is in force.
func (s Set) IsEnabled(safeguard Safeguard) bool {
	return !s.off[safeguard]
}
