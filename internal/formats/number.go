package formats

// Number is a format as a whole.
type Number uint32

const (
	// First is the format of processes that tell none.
	First Number = 0
	// Second added what the constants below name.
	Second Number = 1
	// Newest is the highest that this build knows.
	Newest = Second
)

// What formats have added, by the number from which on it is known.
const (
	// DocumentPatches: a relay is told what has changed in the configuration document.
	DocumentPatches = Second
	// ReplicaIncarnations: listed back ends have identities of their starts, with the replicas' and the times beside them.
	ReplicaIncarnations = Second
	// QuarantinedRequests: controllers tell nodes which requests are held, and take ends of replicas.
	QuarantinedRequests = Second
	// UsageWindows: controllers tell relays in which windows tenants' usage is counted, and take their counts.
	UsageWindows = Second
	// RelayPermits: relays keep counts of limits for each other.
	RelayPermits = Second
)
