// Package relay implements the relay process. A relay receives opaque HTTP requests of clients, finds their route in the
// operator's configuration, sends each to a back end of the route's service and forwards the answer as it arrives.
//
// A request that must not be repeated is sent again only when no back end can have run it. An answer with status 429, 503,
// 408 or 421 that the relay itself makes promises that the request was not run and will not be run. A client never receives
// an answer to another request, or an incomplete answer that looks complete.
//
// Goroutines: one accepts connections; one serves each connection, and another one next to it detects that the client
// disconnects while an answer is awaited; one watches the controllers. The view of the configuration and the back ends is
// immutable and replaced as a whole.
package relay
