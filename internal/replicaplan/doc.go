// Package replicaplan decides how many replicas of a service are wanted in each zone, and of which
// kind: ones that stay, or cheaper ones that the platform may take away, all of a zone at once. It
// is pure: the owner tells it what is listed, agreed and refused, and orders what it answers.
//
// The plan keeps the number of replicas that the operator began with, or more where the work asks
// for it. It takes as many as it can of the cheap kind, evenly over the zones, so that the largest
// part that can go at once is small; and of the other kind just so many that what is left after such
// a loss can do the work. Replicas that stay are given up only once others that serve are listed.
package replicaplan
