// Package slots obtains slots of back ends for the requests of a relay. The slots of a service have one owner among the
// relays, which grants them for all relays, and a deputy that grants them when the owner does not answer. This package
// asks the owner, grants the slots of the services that this relay owns, reports to the owner and its deputy which slots
// this relay holds, and replicates the promises to refused clients from the owner to its deputy. internal/slotqueue and
// internal/returnplan make the decisions; this package sends requests, answers, reports and promises as datagrams.
package slots
