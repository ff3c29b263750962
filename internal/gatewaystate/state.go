package gatewaystate

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Bounds of what a gateway remembers.
const (
	DefaultTenantCapacity = 1024
	// maximumUnknownKeys bounds the keys asked for in one Sync; a flood of made-up keys
	// costs no more than that.
	maximumUnknownKeys = 256
	// maximumRejectedKeys bounds the negative cache.
	maximumRejectedKeys = 4096
	// tenantIdleLimit is how long a tenant without requests is remembered.
	tenantIdleLimit = 2 * time.Minute
)

// Config says who the gateway is and how much it remembers.
type Config struct {
	Identity *v1.NodeIdentity
	// TenantCapacity is the most tenants remembered; 0 means DefaultTenantCapacity.
	TenantCapacity int
	Safeguards     safeguard.Set
}

// SafeguardOrderedRevisions takes no configuration below the revision in force.
const SafeguardOrderedRevisions safeguard.Safeguard = "ordered revisions at a node"

// State is the gateway's view of the fleet.
type State struct {
	config        Config
	configuration configuration
	directory     directory
	tenants       map[string]*atomic.Int64 // last use, by tenant
	unknownKeys   map[string]struct{}
	rejectedKeys  map[string]struct{}
	demands       map[demandKey]*v1.Demand
	reportedAt    time.Duration
	syncedAt      time.Duration
	leaving       bool
	snapshot      *Snapshot
	// configurationChanged tells that the snapshot's lookups must be derived again.
	configurationChanged bool
}

// New returns the state of a gateway that has not heard of any controller.
func New(config Config) *State {
	if config.TenantCapacity == 0 {
		config.TenantCapacity = DefaultTenantCapacity
	}
	return &State{
		config:               config,
		configuration:        configuration{objects: map[objectKey]*v1.Object{}},
		tenants:              map[string]*atomic.Int64{},
		unknownKeys:          map[string]struct{}{},
		rejectedKeys:         map[string]struct{}{},
		demands:              map[demandKey]*v1.Demand{},
		configurationChanged: true,
	}
}

// MarkLeaving marks the gateway as leaving; later Syncs say so.
func (s *State) MarkLeaving() { s.leaving = true }

// Revision returns the revision in force.
func (s *State) Revision() uint64 { return s.configuration.revision }

// RequestKeyLookup notes an API key's hash that the snapshot does not know, so that the next Sync
// asks for it. It reports false when too many are waiting already.
func (s *State) RequestKeyLookup(keyHash string) bool {
	if _, waiting := s.unknownKeys[keyHash]; waiting {
		return true
	}
	if len(s.unknownKeys) >= maximumUnknownKeys {
		return false
	}
	s.unknownKeys[keyHash] = struct{}{}
	return true
}

// BackEnds returns the back ends that the controllers last named, with the time of the
// reading that confirmed them. The slice is the caller's until the next ApplySync.
func (s *State) BackEnds() []routing.BackEnd { return s.directory.backEnds }

// SyncRequest builds the next heartbeat. The tenants held are not listed: controllers
// then send changes to every tenant, and those not held are dropped here.
func (s *State) SyncRequest(now time.Duration) *v1.SyncRequest {
	s.forgetIdleTenants(now)
	return &v1.SyncRequest{
		Node:             s.config.Identity,
		Revision:         s.configuration.revision,
		UnknownKeyHashes: slices.Sorted(maps.Keys(s.unknownKeys)),
		Leaving:          s.leaving,
		DirectoryVersion: s.directory.version,
	}
}

// SyncResult tells what an answer brought.
type SyncResult struct {
	// Behind tells that the controller may miss configuration, so that another one
	// should be asked; nothing older than this gateway has was taken.
	Behind bool
	// DirectoryChanged tells that BackEnds holds a new directory.
	DirectoryChanged bool
	// DirectoryConfirmed tells that the directory is as the controllers' readings of
	// ConfirmedAt, or later, say.
	DirectoryConfirmed bool
	ConfirmedAt        time.Duration
}

// ApplySync applies the answer to request, which was sent at sentAt and answered at now.
func (s *State) ApplySync(sentAt, now time.Duration, request *v1.SyncRequest, response *v1.SyncResponse) SyncResult {
	result := s.applyDirectory(sentAt, now, response)
	result.Behind = response.GetBehind() || response.GetRevision() < s.configuration.revision
	if !s.mayTake(response) {
		return result
	}
	s.applyConfiguration(now, request, response)
	s.syncedAt = now
	return result
}

// mayTake reports whether an answer's configuration may come into force. It never is
// older than the one in force; and a node that has none may have had a later one before
// it restarted, so that it begins only with one that is not behind.
func (s *State) mayTake(response *v1.SyncResponse) bool {
	if !s.config.Safeguards.IsEnabled(SafeguardOrderedRevisions) {
		return true
	}
	begins := s.configuration.revision == 0
	return response.GetRevision() >= s.configuration.revision && !(begins && response.GetBehind())
}

// applyDirectory counts freshness from the time the request was sent: the readings are
// at least as young as that, less their age.
func (s *State) applyDirectory(sentAt, now time.Duration, response *v1.SyncResponse) SyncResult {
	readAt := sentAt - time.Duration(response.GetDirectoryAgeMs())*time.Millisecond
	switch {
	case response.GetDirectory() != nil:
		s.directory.replace(now, readAt, response.GetDirectory())
		return SyncResult{DirectoryChanged: true, DirectoryConfirmed: true, ConfirmedAt: readAt}
	case s.directory.version != 0 && response.GetDirectoryVersion() == s.directory.version:
		s.directory.confirm(readAt)
		return SyncResult{DirectoryConfirmed: true, ConfirmedAt: readAt}
	default:
		return SyncResult{}
	}
}

func (s *State) applyConfiguration(now time.Duration, request *v1.SyncRequest, response *v1.SyncResponse) {
	if response.GetRevision() > s.configuration.revision || response.GetFull() {
		// A new revision may give a rejected key to a tenant.
		clear(s.rejectedKeys)
		s.configurationChanged = true
	}
	if len(response.GetObjects()) > 0 {
		s.configurationChanged = true
	}
	s.configuration.apply(response.GetRevision(), response.GetFull(), response.GetObjects(), func(tenant *v1.Object) bool {
		return answersKey(tenant, request.GetUnknownKeyHashes())
	})
	s.indexTenants(now)
	for _, keyHash := range response.GetRejectedKeyHashes() {
		if len(s.rejectedKeys) >= maximumRejectedKeys {
			clear(s.rejectedKeys)
		}
		s.rejectedKeys[keyHash] = struct{}{}
		s.configurationChanged = true
	}
	if response.GetBehind() {
		return // another controller may know the keys that this one does not
	}
	for _, keyHash := range request.GetUnknownKeyHashes() {
		delete(s.unknownKeys, keyHash)
	}
}

// answersKey reports whether one of the asked keys belongs to the tenant.
func answersKey(tenant *v1.Object, asked []string) bool {
	return slices.ContainsFunc(tenant.GetTenant().GetApiKeyHashes(), func(hash string) bool {
		return slices.Contains(asked, hash)
	})
}

// indexTenants keeps one record of use for each tenant held, within the capacity.
func (s *State) indexTenants(now time.Duration) {
	held := map[string]*atomic.Int64{}
	for key := range s.configuration.objects {
		if key.kind != v1.ObjectType_OBJECT_TYPE_TENANT {
			continue
		}
		used, ok := s.tenants[key.name]
		if !ok {
			used = &atomic.Int64{}
			used.Store(int64(now))
		}
		held[key.name] = used
	}
	s.tenants = held
	s.forgetLeastUsed()
}

// forgetLeastUsed drops the tenants least recently used beyond the capacity.
func (s *State) forgetLeastUsed() {
	excess := len(s.tenants) - s.config.TenantCapacity
	if excess <= 0 {
		return
	}
	names := slices.Sorted(maps.Keys(s.tenants))
	slices.SortStableFunc(names, func(a, b string) int {
		return int(s.tenants[a].Load()/int64(time.Millisecond) - s.tenants[b].Load()/int64(time.Millisecond))
	})
	for _, name := range names[:excess] {
		s.forgetTenant(name)
	}
}

func (s *State) forgetIdleTenants(now time.Duration) {
	for name, used := range s.tenants {
		if now-time.Duration(used.Load()) > tenantIdleLimit {
			s.forgetTenant(name)
		}
	}
}

func (s *State) forgetTenant(name string) {
	delete(s.tenants, name)
	delete(s.configuration.objects, objectKey{v1.ObjectType_OBJECT_TYPE_TENANT, name})
	s.configurationChanged = true
}

// Snapshot returns the state as readers may see it.
func (s *State) Snapshot() *Snapshot {
	next := &Snapshot{}
	if s.snapshot != nil && !s.configurationChanged {
		*next = *s.snapshot
	} else {
		next.fill(s.configuration.objects, func(name string) *Tenant {
			return &Tenant{Name: name, lastUsed: s.tenants[name]}
		})
		next.rejected = maps.Clone(s.rejectedKeys)
	}
	next.Revision = s.configuration.revision
	next.SyncedAt = s.syncedAt
	s.configurationChanged = false
	s.snapshot = next
	return next
}
