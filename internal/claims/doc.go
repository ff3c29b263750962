// Package claims is the gateway's side of running a request at most once. Before
// such a request is sent to a back end, the gateway claims it at the controllers,
// which grant one claim for a tenant, kind and idempotency key, and keep its
// outcome. The package is pure: Begin and Finish are state machines that say whom
// to call and when, and take in what came of it.
//
// What holds: a request runs only under a granted claim; the attempt that asked
// runs once; a claim whose answer is lost is asked for again under the same attempt,
// through any controller; when no controller answers in time the request is refused
// and this attempt never runs, whatever arrives later. A claim is released for
// another attempt only by the verdict not run. Claims are remembered until they
// expire (at most 24 h); a key that is used again later is a new request.
//
// A verdict here is about one sending of the caller. What the caller is told covers all
// sendings under its key: the gateway says "may have run" when a claim could not be made
// and nobody knows of earlier sendings.
//
// Begin and Finish each belong to one goroutine. Times are durations since an
// origin of the caller's choice and must not go back.
package claims
