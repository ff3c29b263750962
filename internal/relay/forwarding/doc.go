// Package forwarding is how a relay without a path to the back ends of a service passes requests on to another relay that has
// one. The other relay sends the request to a back end and never forwards it again. The connection between them is HTTP/1.1;
// headers that only relays set carry what the first relay has already done and decided.
package forwarding
