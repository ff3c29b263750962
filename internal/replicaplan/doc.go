// Package replicaplan decides how many replicas of a service are wanted in each zone, and of which kind: on-demand
// replicas, or spot replicas, which are cheaper but may be reclaimed by the platform, all of a zone at once. It is
// pure: the owner passes what is listed, agreed and refused, and orders the result.
//
// The plan keeps a share of the operator's initial replicas on demand. Spot replicas replace the others, spread evenly
// over the zones. There are enough of them that the operator's initial number remains if the largest zone is
// reclaimed, or more if the work requires it. After a loss, the plan orders enough on-demand replicas to serve the
// work after a further loss. A replica is released only once others that serve are listed.
package replicaplan
