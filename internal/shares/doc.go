// Package shares divides tenants' limits among gateways by demand. A share is a lease: it
// is valid for a stated time and then expires. Only the leader grants shares, and it keeps
// them in memory only.
//
// The sum of all unexpired shares of a tenant never exceeds its limit. A share is granted
// from what the others do not hold. One gateway's share grows only after the smaller share
// of another has arrived there (the gateway reports what it holds) or its older one has
// expired. The only overshoot, bounded by one share lifetime, occurs when a limit is lowered.
// A new leader grants nothing beyond what gateways report to hold until every share of its
// predecessor has expired.
//
// The unwanted part of a limit is granted only partially: a gateway gets an eighth of it
// beyond its demand, at most as much again. A gateway that newly sees a tenant therefore
// gets its demand immediately while all gateways together want less than half of the limit.
//
// A Divider is pure and must be used from one goroutine.
package shares
