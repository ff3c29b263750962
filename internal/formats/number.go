package formats

// Number identifies one format of the messages that processes send to each other and of the data that processes store.
type Number uint32

const (
	// First is the format of processes that advertise no formats.
	First Number = 0
	// Second added everything that the constants below name with it.
	Second Number = 1
	// Third added the slots of services that relays share, and the speeds of engines.
	Third Number = 2
	// Fourth added the versions of the back ends' software.
	Fourth Number = 3
	// Fifth added the leader's statements of the software versions that can have begun streams.
	Fifth Number = 4
	// Newest is the highest format that this build supports.
	Newest = Fifth
	// NewestStored is the newest format that added entries of the replicated log or state that they build. Controllers
	// agree on no later one: a former build halts on an agreement that it does not know, even if nothing of that format
	// is stored.
	NewestStored = Second
)

// Features that formats have added. Each constant is the first format that has the feature.
const (
	// DocumentPatches is the first format in which a relay is sent patches of the configuration document.
	DocumentPatches = Second
	// ReplicaIncarnations is the first format in which the list of back ends that controllers send identifies each back
	// end by its incarnation. From this format on the list also holds the replicas' identities and the times at which
	// the incarnations started.
	ReplicaIncarnations = Second
	// QuarantinedRequests is the first format in which controllers send the quarantined requests to nodes and accept
	// reports of replica crashes.
	QuarantinedRequests = Second
	// UsageWindows is the first format in which controllers tell relays in which windows to count tenants' usage, and
	// accept their counts.
	UsageWindows = Second
	// RelayPermits is the first format in which relays own limits and grant permits to each other.
	RelayPermits = Second
	// SlotQueues is the first format in which relays own the slots of services and grant them to each other.
	SlotQueues = Third
	// SoftwareVersions is the first format in which the list of back ends holds the versions of their software.
	SoftwareVersions = Fourth
	// VersionStatements is the first format in which the leader states which software versions can have begun streams, and
	// records each version before relays learn of a back end that has it.
	VersionStatements = Fifth
)
