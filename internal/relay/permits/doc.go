// Package permits gives this relay permits to send requests to back ends that name a limit for all relays together. It
// asks the relay that keeps the back end's count, keeps the counts that are this relay's, and tells other relays of
// limits. internal/fleetlimit decides; this package carries its questions, answers and notices by datagrams.
package permits
