// Package cell divides the engines of a service into cells of similar size, assigns home cells to each
// prompt, and selects the relays that own a cell. The owner knows all work of the cell's engines and
// decides where requests run on them.
//
// All results follow from hashes of the listed engines and relays, so that relays with the same list
// agree without messages. A relay with a different list makes worse decisions but breaks no invariant.
// The package is pure.
package cell
