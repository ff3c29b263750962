// Package lifecycle handles the signals of a server process during its whole lifetime, in one place, so that no
// signal ends the process unintentionally. Decider, which has no side effects, decides what each signal does.
package lifecycle
