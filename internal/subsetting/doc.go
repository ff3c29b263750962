// Package subsetting decides which of a service's back ends relays know of, and which relays may own cells.
//
// A fleet may have far more engines than its work needs. If every relay knew all of them, memory and traffic would
// grow with relays x back ends, and prompts would be spread over engines with cold caches. Relays therefore know a
// subset that follows the work: half to the power of n of all back ends, selected by a hash of the address. Subsets
// nest, each zone contributes its share, and a back end that restarts at its address stays in the subset. The package
// is pure.
package subsetting
