// Package origins keeps which software version began each stream at a few relays, so that any relay knows it when a client takes
// the stream up, also after the relay that began it has died. The relays of a stream follow from its name. Where one version
// alone serves and no route has changed, nothing is kept and nothing is sent. internal/streamorigin makes the decisions; this package sends its reports and
// queries as datagrams.
package origins
