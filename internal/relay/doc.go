// Package relay is the runtime of the relay process: it takes opaque HTTP requests of
// clients, finds their route in the operator's configuration, sends each to a back end of
// the route's service and passes the answer on as it comes.
//
// A request that may not be repeated is sent again only when no back end can have run it;
// an answer of 429, 503, 408 or 421 made here says that the request has not run and never
// will. An answer that belongs to another request, or that does not come whole, never
// looks whole to a client.
//
// Goroutines: one accepts connections, one serves each connection and one beside it looks
// for the client's end of the connection while an answer is awaited; one watches the
// controllers. The view of configuration and back ends is replaced as a whole.
package relay
