// Package shares divides tenants' limits among gateways by demand. A share is a
// lease: it holds for a stated time and then runs out. The leader alone grants
// shares and keeps them in memory only.
//
// The sum of all shares of a tenant that have not run out never exceeds its limit:
// a share is granted out of what the others do not hold, and a larger share of one
// gateway waits until another's smaller one has arrived there (the gateway says what
// it holds) or the older one has run out. Two cases overshoot, both bounded by one
// share lifetime: a limit that is lowered, and nothing else; a new leader grants
// nothing beyond what gateways say they hold until every share of its predecessor
// has run out.
//
// What no one wants is given out only in part: a gateway gets an eighth of it beyond
// what it wants, at most as much again, so that a gateway which newly meets a tenant gets
// what it wants at once while all together want less than half of the limit.
//
// A Divider is pure and belongs to one goroutine.
package shares
