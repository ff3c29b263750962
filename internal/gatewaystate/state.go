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

// Limits of the stored state.
const (
	// DefaultTenantCapacity is the default of Config.TenantCapacity.
	DefaultTenantCapacity = 1024
	// maximumPendingKeys bounds the unknown API keys that one heartbeat requests, and so the cost of a flood of invented
	// keys.
	maximumPendingKeys = 256
	// maximumRejectedKeys bounds the negative cache of API keys.
	maximumRejectedKeys = 4096
	// tenantIdleLimit is how long a tenant without requests stays stored.
	tenantIdleLimit = 2 * time.Minute
)

// Config configures a State.
type Config struct {
	Identity *v1.NodeIdentity
	// TenantCapacity is the maximum number of stored tenants; 0 means DefaultTenantCapacity.
	TenantCapacity int
	Safeguards     safeguard.Set
}

// SafeguardOrderedRevisions rejects a configuration below the applied revision.
const SafeguardOrderedRevisions safeguard.Safeguard = "ordered revisions at a node"

// State is the gateway's view of the fleet.
type State struct {
	config        Config
	configuration configuration
	directory     directory
	tenants       map[string]*atomic.Int64 // time of last use, by tenant
	pendingKeys   map[string]struct{}
	rejectedKeys  map[string]struct{}
	demands       map[demandKey]*v1.Demand
	reportedAt    time.Duration
	syncedAt      time.Duration
	leaving       bool
	snapshot      *Snapshot
	// configurationChanged means that the lookup tables of the snapshot must be rebuilt.
	configurationChanged bool
}

// New returns the state of a gateway that has received no answer from a controller yet.
func New(config Config) *State {
	if config.TenantCapacity == 0 {
		config.TenantCapacity = DefaultTenantCapacity
	}
	return &State{
		config:               config,
		configuration:        configuration{objects: map[objectKey]*v1.Object{}},
		tenants:              map[string]*atomic.Int64{},
		pendingKeys:          map[string]struct{}{},
		rejectedKeys:         map[string]struct{}{},
		demands:              map[demandKey]*v1.Demand{},
		configurationChanged: true,
	}
}

// MarkLeaving marks the gateway as leaving; later heartbeats announce it.
func (s *State) MarkLeaving() { s.leaving = true }

// Revision returns the applied revision.
func (s *State) Revision() uint64 { return s.configuration.revision }

// RequestKeyLookup adds the hash of an API key that the snapshot does not contain to the next heartbeat's request. It
// reports false when too many keys are already waiting.
func (s *State) RequestKeyLookup(keyHash string) bool {
	if _, waiting := s.pendingKeys[keyHash]; waiting {
		return true
	}
	if len(s.pendingKeys) >= maximumPendingKeys {
		return false
	}
	s.pendingKeys[keyHash] = struct{}{}
	return true
}

// BackEnds returns the back ends of the last directory, each with the time of the
// reading that confirmed it. The slice is valid until the next ApplySync.
func (s *State) BackEnds() []routing.BackEnd { return s.directory.backEnds }

// SyncRequest builds the next heartbeat. It does not list the stored tenants: controllers
// send the changes of every tenant, and apply drops those that are not stored here.
func (s *State) SyncRequest(now time.Duration) *v1.SyncRequest {
	s.evictIdleTenants(now)
	return &v1.SyncRequest{
		Node:             s.config.Identity,
		Revision:         s.configuration.revision,
		UnknownKeyHashes: slices.Sorted(maps.Keys(s.pendingKeys)),
		Leaving:          s.leaving,
		DirectoryVersion: s.directory.version,
	}
}

// SyncResult is the effect of a controller's answer to a heartbeat.
type SyncResult struct {
	// Behind means that the controller may miss configuration and that another one
	// should be queried. Nothing older than the applied configuration was applied.
	Behind bool
	// DirectoryChanged means that BackEnds returns a new directory.
	DirectoryChanged bool
	// DirectoryConfirmed means that the directory matches the controllers' readings of the back ends' states, made at
	// ConfirmedAt or later.
	DirectoryConfirmed bool
	ConfirmedAt        time.Duration
}

// ApplySync applies the answer to request, which was sent at sentAt and whose answer arrived at now.
func (s *State) ApplySync(sentAt, now time.Duration, request *v1.SyncRequest, response *v1.SyncResponse) SyncResult {
	result := s.applyDirectory(sentAt, now, response)
	result.Behind = response.GetBehind() || response.GetRevision() < s.configuration.revision
	if !s.mayApply(response) {
		return result
	}
	s.applyConfiguration(now, request, response)
	s.syncedAt = now
	return result
}

// mayApply reports whether the configuration of an answer may be applied. It must not be older than the applied one.
// A node without configuration may have applied a later one before it restarted, so that the first answer that it applies
// must not come from a controller that is behind.
func (s *State) mayApply(response *v1.SyncResponse) bool {
	if !s.config.Safeguards.IsEnabled(SafeguardOrderedRevisions) {
		return true
	}
	hasNone := s.configuration.revision == 0
	return response.GetRevision() >= s.configuration.revision && !(hasNone && response.GetBehind())
}

// applyDirectory derives the freshness of the directory from the time at which the request was sent: the readings are
// at least as recent as that time minus their age.
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
		// A new revision may assign a rejected key to a tenant.
		clear(s.rejectedKeys)
		s.configurationChanged = true
	}
	if len(response.GetObjects()) > 0 {
		s.configurationChanged = true
	}
	s.configuration.apply(response.GetRevision(), response.GetFull(), response.GetObjects(), func(tenant *v1.Object) bool {
		return hasAnyKey(tenant, request.GetUnknownKeyHashes())
	})
	s.trackTenants(now)
	for _, keyHash := range response.GetRejectedKeyHashes() {
		if len(s.rejectedKeys) >= maximumRejectedKeys {
			clear(s.rejectedKeys)
		}
		s.rejectedKeys[keyHash] = struct{}{}
		s.configurationChanged = true
	}
	if response.GetBehind() {
		return // another controller may know the keys that this one misses
	}
	for _, keyHash := range request.GetUnknownKeyHashes() {
		delete(s.pendingKeys, keyHash)
	}
}

// hasAnyKey reports whether one of the given keys belongs to the tenant.
func hasAnyKey(tenant *v1.Object, keyHashes []string) bool {
	return slices.ContainsFunc(tenant.GetTenant().GetApiKeyHashes(), func(hash string) bool {
		return slices.Contains(keyHashes, hash)
	})
}

// trackTenants updates the times of last use: it keeps one for each stored tenant and evicts tenants beyond the capacity.
func (s *State) trackTenants(now time.Duration) {
	tracked := map[string]*atomic.Int64{}
	for key := range s.configuration.objects {
		if key.objectType != v1.ObjectType_OBJECT_TYPE_TENANT {
			continue
		}
		used, ok := s.tenants[key.name]
		if !ok {
			used = &atomic.Int64{}
			used.Store(int64(now))
		}
		tracked[key.name] = used
	}
	s.tenants = tracked
	s.evictLeastRecentlyUsed()
}

// evictLeastRecentlyUsed removes the least recently used tenants beyond the capacity.
func (s *State) evictLeastRecentlyUsed() {
	excess := len(s.tenants) - s.config.TenantCapacity
	if excess <= 0 {
		return
	}
	names := slices.Sorted(maps.Keys(s.tenants))
	slices.SortStableFunc(names, func(a, b string) int {
		return int(s.tenants[a].Load()/int64(time.Millisecond) - s.tenants[b].Load()/int64(time.Millisecond))
	})
	for _, name := range names[:excess] {
		s.evictTenant(name)
	}
}

func (s *State) evictIdleTenants(now time.Duration) {
	for name, used := range s.tenants {
		if now-time.Duration(used.Load()) > tenantIdleLimit {
			s.evictTenant(name)
		}
	}
}

func (s *State) evictTenant(name string) {
	delete(s.tenants, name)
	delete(s.configuration.objects, objectKey{v1.ObjectType_OBJECT_TYPE_TENANT, name})
	s.configurationChanged = true
}

// Snapshot returns an immutable view of the current state.
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
