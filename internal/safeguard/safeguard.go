// Package safeguard names the mechanisms behind hazelpitch's guarantees, so that tests can
// disable one and show that the guarantee then breaks. Processes always run with the zero Set,
// which enables every safeguard; no setting can change it.
package safeguard

// Safeguard is the name of a mechanism that a test may disable.
type Safeguard string

// Set is a set of disabled safeguards. The zero Set disables none. A Set is immutable.
type Set struct {
	disabled map[Safeguard]bool
}

// Without returns a Set that disables the named safeguards.
func Without(safeguards ...Safeguard) Set {
	disabled := make(map[Safeguard]bool, len(safeguards))
	for _, safeguard := range safeguards {
		disabled[safeguard] = true
	}
	return Set{disabled: disabled}
}

// IsEnabled reports whether the safeguard is enabled.
func (s Set) IsEnabled(safeguard Safeguard) bool {
	return !s.disabled[safeguard]
}
