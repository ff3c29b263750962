// Package operatorclient is the client of the operator service. It tries the controllers in turn, and next the leader when
// a controller names it. When an answer is lost, it sends the request again under the same identity, so that the request
// takes effect only once.
package operatorclient
