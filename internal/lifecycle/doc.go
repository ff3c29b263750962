// Package lifecycle takes the signals of a server process from its first line to its last, in one place, so
// that none of them ends it but on purpose. What each does is decided by Decider, which is pure.
package lifecycle
