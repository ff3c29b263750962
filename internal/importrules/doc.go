// Package importrules holds no code of its own: its test fails when a product
// package imports the bench, or when a package of pure decision logic imports
// I/O, a clock or a random source. docs/ARCHITECTURE.md lists the rules.
package importrules
