// Package fleetlimit enforces the limits that back ends name for all processes together. For each back end, one process
// at a time owns the limit: it counts the requests and grants permits, each of which allows one request to the back end.
// A back end's limit therefore holds for any number of processes, even for more processes than requests that it allows.
//
// The owner follows from the list of processes, so that processes with the same list agree without messages. If their
// lists differ or the owner does not answer, deputies grant a fraction of the limit. All processes that may grant permits
// at the same time stay within the tolerance that back ends allow (see Ownership). The package is pure.
package fleetlimit
