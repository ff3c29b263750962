// Package operatorclient is the client of the operator service. It tries the controllers in turn, moves on to the leader
// that a controller names, and repeats a request whose answer was lost under the same identity, so that the request takes
// effect once.
package operatorclient
