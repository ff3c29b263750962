package origins

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

const (
	// ownersPerStream is how many relays keep the origin of a stream, besides the one that began it.
	ownersPerStream = 3
	// resendInterval is the time after which a report without a receipt is sent again, maxSends times in all.
	resendInterval = 20 * time.Millisecond
	// renewInterval is the time after which records of active streams that may outlast them are renewed; a renewal may be lost.
	renewInterval = streamorigin.MaxLifetime / 4
	maxSends      = 5
	// maxPendingReports bounds the reports that wait for receipts; further ones are sent once.
	maxPendingReports = 8192
	// queriesPerOwner is how often an owner is asked for one origin.
	queriesPerOwner = 2
	// statementTimeout bounds the wait for a statement of the leader.
	statementTimeout = 400 * time.Millisecond
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
	// ReadStatement asks the leader for a statement; it returns nil if it gets none.
	ReadStatement func(ctx context.Context) *v1.VersionStatement
	// IsLeaderInContact reports whether the leader has answered lately.
	IsLeaderInContact func() bool
	Metrics           Metrics
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
	// OnlyVersion: one version alone can have begun the stream, by a statement that the leader made after the search began.
	// RelayedOnlyVersion: the same, by a statement that another relay got from the leader.
	OnlyVersion        Outcome = "only_version"
	RelayedOnlyVersion Outcome = "relayed_only_version"
	// OwnRecord: this relay holds the record. OtherRecord: another relay does.
	OwnRecord   Outcome = "own_record"
	OtherRecord Outcome = "other_record"
	// NotFound: several versions can have begun the stream, and no relay that answered has its record. NoStatement: no relay that
	// answered has a record, and no statement of the leader was available.
	NotFound    Outcome = "unknown"
	NoStatement Outcome = "no_statement"
)
