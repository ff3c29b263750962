package origins

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Origins keeps the origins of streams, those that this relay has begun and those that other relays report to it. It is safe for
// concurrent use.
type Origins struct {
	config  Config
	queries *datagram.Queries[*v1.StreamOriginAnswer]
	// reported holds a value when a report waits for its receipt.
	reported chan struct{}

	statements statementReader
	// statement is that of the leader's last answer; nil for none.
	statement atomic.Pointer[streamorigin.Statement]

	mutex   sync.Mutex
	history *streamorigin.History
	table   *streamorigin.Table
	// relays are the addresses of the relays that keep origins, this one included.
	relays []string
	// active are the streams that this relay is forwarding and of which the client has events.
	active map[*ActiveStream]bool
	// pending are the reports that wait for receipts, by number.
	pending    map[uint64]*pendingReport
	lastNumber uint64
}

// New returns the origins of a relay that has no lists of relays and back ends yet.
func New(config Config) *Origins {
	return &Origins{
		statements: statementReader{readStatement: config.ReadStatement},
		config:     config, queries: datagram.NewQueries[*v1.StreamOriginAnswer](config.Socket), reported: make(chan struct{}, 1),
		history: streamorigin.NewHistory(), table: streamorigin.NewTable(streamorigin.MaxRecords),
		active: map[*ActiveStream]bool{}, pending: map[uint64]*pendingReport{},
	}
}

// SetRelays sets the addresses of the relays that keep origins.
func (o *Origins) SetRelays(addresses []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.relays = slices.Clone(addresses)
}

// ApplyListing applies a list of back ends: the versions of each service. Where a second version is listed now, it reports the
// streams that this relay is forwarding, which nobody has recorded.
func (o *Origins) ApplyListing(listed map[string]map[streamorigin.Version]bool) {
	o.mutex.Lock()
	newlyMixed := o.history.Update(o.config.Now(), listed)
	o.mutex.Unlock()
	o.RecordActive(func(service string) bool { return slices.Contains(newlyMixed, service) })
}

// ApplyStatement applies the statement in the leader's last answer; nil if it has none. Where it names a second version, it reports the
// streams that this relay is forwarding, as ApplyListing does.
func (o *Origins) ApplyStatement(stated *v1.VersionStatement) {
	var statement *streamorigin.Statement
	if stated != nil {
		statement = statementFromWire(stated)
	}
	former := o.statement.Swap(statement)
	o.RecordActive(func(service string) bool {
		_, wasSingle := former.Single(service)
		_, isSingle := statement.Single(service)
		return wasSingle && !isSingle
	})
}

// RecordActive reports the streams of some services that this relay is forwarding.
func (o *Origins) RecordActive(isAffected func(service string) bool) {
	o.recordActive(func(stream *ActiveStream) bool { return isAffected(stream.Service) })
}

func (o *Origins) recordActive(isAffected func(*ActiveStream) bool) {
	o.mutex.Lock()
	active := slices.Collect(maps.Keys(o.active))
	o.mutex.Unlock()
	for _, stream := range active {
		if isAffected(stream) {
			o.Record(stream.Name(), stream.Service, stream.Record)
		}
	}
}

// isMixed reports whether this relay lists several versions of a service, or did within the time that a stream can last.
func (o *Origins) isMixed(service string) bool {
	lifetime := o.config.LifetimeOf(service)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, isSingle := o.history.Single(o.config.Now(), service, lifetime)
	return !isSingle
}

// NeedsRecords reports whether streams of a service are recorded: unless one version alone can have begun them, as far as this relay
// knows from its list and from the leader's last answer. Without a leader there is nobody else to ask about them.
func (o *Origins) NeedsRecords(service string) bool {
	_, isSingle := o.statement.Load().Single(service)
	return !isSingle || !o.config.IsLeaderInContact() || o.isMixed(service)
}

// HaveRoutesChanged reports whether the leader's last answer says that streams of some routes may have begun at other services.
func (o *Origins) HaveRoutesChanged() bool {
	statement := o.statement.Load()
	return statement != nil && statement.HaveRoutesChanged
}

// IsStated reports whether the leader's last answer names a version of a service, or states no versions at all. A stream that begins at
// another version may be continued at a wrong one, since the leader's statements lack it.
func (o *Origins) IsStated(service string, version streamorigin.Version) bool {
	statement := o.statement.Load()
	return statement == nil || statement.Contains(service, version)
}

// ActiveStream is a stream that this relay is forwarding and of which the client has events.
type ActiveStream struct {
	// Name returns the stream's name. It is called only when the stream is recorded.
	Name    func() streamorigin.Name
	Service string
	Record  streamorigin.Record
	// MayOutlast is true if the stream may last for longer than its record, which is renewed then.
	MayOutlast bool
}

// Track adds a stream until Untrack.
func (o *Origins) Track(stream *ActiveStream) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.active[stream] = true
}

// Untrack removes a stream that has ended.
func (o *Origins) Untrack(stream *ActiveStream) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.active, stream)
}

// held returns the record of a stream that this relay holds, and its age; false for none.
func (o *Origins) held(name streamorigin.Name) (streamorigin.Record, time.Duration, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.config.Now()
	record, isFound := o.table.Get(now, name)
	return record, o.table.Age(now, name), isFound
}

// HeldCount returns the number of records that this relay holds.
func (o *Origins) HeldCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Len()
}

// ownersOf returns the other relays that keep the origin of a stream.
func (o *Origins) ownersOf(name streamorigin.Name) []string {
	o.mutex.Lock()
	relays := o.relays
	o.mutex.Unlock()
	owners := cell.Owners(name.Low, relays, ownersPerStream)
	return slices.DeleteFunc(owners, func(owner string) bool { return owner == o.config.Socket.Address })
}
