// Package cell divides the engines of a service into cells of a steady size, gives each prompt
// its home cells, and names the relays that own a cell: those that know all work of its engines
// and decide where requests run on them.
//
// Everything follows from hashes of what is listed, so that relays agree without a message as far
// as their lists do. A relay that divides otherwise than others decides less well; no rule hangs
// on it. The package is pure.
package cell
