// Package subsetting decides which part of a service's back ends relays are told of, and which relays
// may own cells.
//
// A fleet may have far more engines than its work needs. Were every relay to know all of them, what is
// held and sent would grow as relays x back ends, and prompts would be spread over engines that keep
// nothing yet. So relays are told a part that follows the work: a power of a half of all, drawn by a hash
// of the address, so that parts nest, each zone gives its share, and a back end that restarts at its
// address keeps its place. The package is pure.
package subsetting
