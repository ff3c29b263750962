// Package language is the operators' one language: declarations of what shall be
// in force (files named *.hzl, kept in version control), queries of what is, and
// commands. It parses, checks, formats, compares and evaluates; it does no I/O,
// reads no clock and holds no state, so all of it may be called from any goroutine.
//
// docs/LANGUAGE.md is the reference page; a test holds it to the grammar.
package language
