// Package leaderwatch keeps a node connected to the leading controller. It finds the leader among the
// known controllers and sends it one long-polling watch request after another, so that updates arrive at
// once and the loss of the leader is detected. The node supplies the requests and applies the responses.
package leaderwatch
