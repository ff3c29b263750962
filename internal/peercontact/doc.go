// Package peercontact records a process's contact with its peers: when messages last arrived from and at each of them, the
// connections to it, and what failed. It is for logs and metrics only; nothing is decided by it.
package peercontact
