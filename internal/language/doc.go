// Package language implements the operators' language: declarations of the wanted configuration (files
// named *.hzl, kept in version control), queries of the current state, and commands. It parses, checks,
// formats, compares and evaluates. It does no I/O, reads no clock and keeps no state, so its functions
// may be called from any goroutine.
//
// docs/LANGUAGE.md is the reference page; a test checks it against the grammar.
package language
