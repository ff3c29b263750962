// Package importrules contains only tests. They fail when a product package imports one of hazelbench, when a
// package of pure decision logic does I/O, reads a clock or uses a random source, when a platform name
// appears outside the platform package, or when a decision uses the time of day. docs/ARCHITECTURE.md
// lists the rules.
package importrules
