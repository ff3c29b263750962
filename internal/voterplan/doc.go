// Package voterplan describes decisions on the voters of the replicated log: which member is promoted to a voter, which
// one is removed, which one is kept although it is silent, and for what reason.
package voterplan
