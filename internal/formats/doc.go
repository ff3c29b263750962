// Package formats numbers the formats of what processes exchange and store: calls, datagrams between relays, entries of
// the replicated log, snapshots and files. Builds of different formats run side by side while a fleet is upgraded or
// downgraded. Each process advertises which formats it supports. No process is sent what it does not support, and no
// entry that a voter does not support is put into the log.
//
// A change that a process of the previous format would not understand gets a new number here, together with the name of
// what it adds. A field that such a process may ignore without harm needs no new number.
package formats
