// Package operatorclient is the client of the operator service: it finds a
// controller that can answer, follows the leader, and sends a request whose answer
// was lost again under the same identity, so that it takes effect once.
package operatorclient
