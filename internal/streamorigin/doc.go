// Package streamorigin decides at which back ends a stream may go on. Back ends of several software versions may serve side by
// side in one service, and a stream may go on only at the version that began it. The package keeps which versions are listed,
// and which version began a stream, by the name of the request that brought its first event. It does no I/O and reads no clock.
package streamorigin
