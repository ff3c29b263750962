// Package replicaplan decides how many replicas of a service are wanted in each zone, and of which
// kind: on demand, or spot replicas, which are cheaper and may be taken away by the platform, all of
// a zone at once. It is pure: the owner tells it what is listed, agreed and refused, and orders what
// it answers.
//
// The plan keeps a share of the replicas that the operator began with on demand. Spot replicas take
// the place of the others, evenly over the zones, so many that the number which the operator began
// with is left when the largest part goes at once, or more where the work asks for it. After a loss
// so many are ordered on demand that a further one leaves what the work needs. A replica is given up
// only once others that serve are listed.
package replicaplan
