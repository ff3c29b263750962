// Package crashguard keeps requests away from back ends that they would crash, at one node. It detects back ends that
// crashed while they ran a request and reports them to the controllers, which agree on quarantined requests for all nodes
// (package quarantine). It blocks the requests that the controllers list. It also quarantines a request on its own for a
// while once enough of the crashes that this node has detected are of that request, so that the request is blocked even
// while no controller answers.
//
// A Guard is safe for concurrent use; its Run must be called once.
package crashguard
