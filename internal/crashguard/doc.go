// Package crashguard keeps requests away from back ends that they would end, at one node. It finds out
// which back ends ended while they ran a request, tells the controllers, who agree on it for all nodes
// (package quarantine), and holds back the requests that the controllers name. It decides nothing on
// how many ends are too many, but for what this node has seen itself while no controller answers.
//
// A Guard is safe for concurrent use; its Run is called once.
package crashguard
