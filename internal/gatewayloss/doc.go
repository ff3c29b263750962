// Package gatewayloss loses gateways and engines of a running fleet while streams and
// registrations go on, and judges every answer: a request may be left without its end
// only by the gateway that was killed under it, and what callers were told must agree
// with what the stand-ins ran.
//
// Gateways are real processes and get real signals; engines are stand-ins whose
// connections all break at once, as a killed process's do.
package gatewayloss
