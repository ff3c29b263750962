// Package fleetlimit keeps the limits that back ends name for all processes together. One process at a time keeps the
// count for a back end and grants permits: each lets one request go there. A back end's limit then holds however many
// processes send to it, also where they are more than the requests that it allows.
//
// Which process keeps the count follows from the list of processes, so that all agree without a message as far as
// their lists do. Where they do not, or the first one does not answer, others stand in with a part of the limit: all
// that may grant at once stay within the tolerance that back ends give (see Tenure). The package is pure.
package fleetlimit
