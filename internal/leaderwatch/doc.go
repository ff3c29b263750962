// Package leaderwatch keeps a node in touch with the controller that leads: it finds it among those that
// are known, and asks it again and again what is new, so that news comes at once and a leader that is gone
// is noticed. What is asked and what becomes of answers is the node's.
package leaderwatch
