// Package voterplan decides who is a voter of a replicated log: which learner is promoted, which voter is removed, and
// which silent voter is kept. The decisions depend on nothing but the members as the leader sees them.
// docs/design/log-and-quorum.md states the promises behind the rules.
package voterplan
