package origins

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
)

const (
	// ownersPerStream is how many relays keep the origin of a stream, besides the one that began it.
	ownersPerStream = 3
	// resendInterval is the time after which a report without a receipt is sent again, maxSends times in all.
	resendInterval = 20 * time.Millisecond
	maxSends       = 5
	// maxPendingReports bounds the reports that wait for receipts; further ones are sent once.
	maxPendingReports = 8192
	// queriesPerOwner is how often an owner is asked for one origin.
	queriesPerOwner = 2
)

// Config are the dependencies of Origins.
type Config struct {
	Socket *datagram.Socket
	// Incarnation is the random identity of this relay's incarnation.
	Incarnation uint64
	// Now is a monotonic clock.
	Now func() time.Duration
	// Timeout returns how long to wait for an answer of another relay.
	Timeout func() time.Duration
	// LifetimeOf returns how long a stream of a service can last.
	LifetimeOf func(service string) time.Duration
	// IsListCurrent reports whether this relay's list of back ends is current. ListAge returns how long ago that was confirmed.
	IsListCurrent func() bool
	ListAge       func() time.Duration
	Metrics       Metrics
}

// Metrics are the counters of Origins.
type Metrics struct {
	// Reports counts sent reports, repetitions included; Lookups counts searches for origins, by outcome.
	Reports prometheus.Counter
	Lookups *prometheus.CounterVec
}

// Outcome says how the origin of a stream was found.
type Outcome string

// Outcomes.
const (
	// OnlyVersion: one version alone can have begun the stream, by this relay's list. UnopposedVersion: one version alone is listed
	// here, though not for as long as a stream can last, and no relay that answered knows of another one.
	OnlyVersion      Outcome = "only_version"
	UnopposedVersion Outcome = "unopposed_version"
	// OwnRecord: this relay holds the record. OtherRecord: another relay does.
	OwnRecord   Outcome = "own_record"
	OtherRecord Outcome = "other_record"
	// NotFound: the origin is unknown.
	NotFound Outcome = "unknown"
)
