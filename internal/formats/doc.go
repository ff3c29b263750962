// Package formats numbers what processes tell each other and keep: calls, datagrams between relays, entries of the
// replicated log, snapshots and files. Builds of different formats run side by side while a fleet is upgraded or taken
// back; each process tells which formats it knows, and what a process does not know is not told to it, nor put into the
// log while it votes.
//
// A change of what is told or kept that a process of the format before would not understand gets a number of its own
// here, with what it added. A field that such a process may leave unread without harm needs none.
package formats
