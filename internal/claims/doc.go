// Package claims is the gateway's side of running a request at most once. Before the
// gateway sends such a request to a back end, it claims the request at the controllers.
// They grant one claim per tenant, kind and idempotency key, and store its outcome. The
// package is pure: BeginOperation and FinishOperation are state machines that return which
// controller to call and when, and process the results.
//
// Guarantees: a request runs only under a granted claim. The attempt that was granted the
// claim runs once. If the answer to a claim is lost, the claim is requested again for the
// same attempt through any controller. If no controller answers in time, the request is
// refused and this attempt never runs, whatever arrives later. Only the verdict NotRun
// releases a claim for another attempt. Claims are stored until they expire (after at most
// 24 h); a key that is used again later identifies a new request.
//
// A verdict in this package concerns one attempt of the caller. The verdict in the caller's
// response covers all attempts under its key: the gateway answers "may have run" if a claim
// could not be made and earlier attempts are unknown.
//
// BeginOperation and FinishOperation must each be used from one goroutine. Times are
// durations since an origin chosen by the caller and must not decrease.
package claims
