// Package settings reads, checks and explains the settings files of hazelpitch's
// processes. A file is checked as a whole before anything takes effect; an error
// names file, line, key and cure. Flags override the file.
//
// The struct tags state the rules: `yaml` names the key, `default` its value when
// the key is absent, and `check` the rules that rules.go defines.
package settings

import "time"

// Controller is the settings file of `hazelpitch controller`.
type Controller struct {
	// Name is unique in the fleet, for logs and queries. Required.
	Name string `yaml:"name" check:"required"`
	// Fleet guards against a controller of another fleet; equal on all processes. Required.
	Fleet string `yaml:"fleet" check:"required"`
	// Zone of this machine. Required.
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for peers, nodes and operators. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// SourceAddress is the IP that outgoing connections leave from; default: any.
	SourceAddress string `yaml:"source_address" check:"ip"`
	// DataDirectory holds the log, snapshots and the disk's identity. Required.
	DataDirectory string `yaml:"data_directory" check:"required"`
	// Peers are the initial voters, this process among them; on a controller that
	// joins later, the controllers to ask for admission. Required.
	Peers []Peer `yaml:"peers" check:"required"`
	// Join tells that this controller is not an initial voter: a standby or a replacement.
	Join bool `yaml:"join"`
	// MachineList is the IP:port of the platform's machine list. Required.
	MachineList string `yaml:"machine_list" check:"required,address"`
	// OperatorKeyHash is the SHA-256 (hex) of the first administrator's key. Required.
	OperatorKeyHash string `yaml:"operator_key_hash" check:"required,sha256"`
	// ElectionTimeout: default 1s. HeartbeatInterval: default 100ms.
	ElectionTimeout   time.Duration `yaml:"election_timeout" default:"1s" check:"positive"`
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" default:"100ms" check:"positive"`
	// PlanInterval is the time between planner decisions; default 1s. 0 switches the planner off.
	PlanInterval time.Duration `yaml:"plan_interval" default:"1s" check:"not-negative"`
	// MachineListInterval is the time between readings of the machine list; default 1s.
	MachineListInterval time.Duration `yaml:"machine_list_interval" default:"1s" check:"positive"`
	TLS                 TLS           `yaml:"tls"`
	Log                 Log           `yaml:"log"`
}

// Peer is one controller of the initial quorum.
type Peer struct {
	Name    string `yaml:"name" check:"required"`
	Address string `yaml:"address" check:"required,address"`
	Zone    string `yaml:"zone" check:"required"`
}

// Gateway is the settings file of `hazelpitch gateway`.
type Gateway struct {
	Name  string `yaml:"name" check:"required"`
	Fleet string `yaml:"fleet" check:"required"`
	Zone  string `yaml:"zone" check:"required"`
	// Listen is the IP:port for callers. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// SourceAddress is the IP that outgoing connections leave from; default: any.
	SourceAddress string `yaml:"source_address" check:"ip"`
	// Controllers are the IP:port of all controllers. Required.
	Controllers []string `yaml:"controllers" check:"required,address"`
	// ZoneLatency is the one-way latency to other zones, for routing by distance.
	ZoneLatency map[string]time.Duration `yaml:"zone_latency" check:"not-negative"`
	// SyncInterval is the time between heartbeats to a controller; default 1s.
	SyncInterval time.Duration `yaml:"sync_interval" default:"1s" check:"positive"`
	// DrainTimeout is the longest a stopping gateway waits for its streams; default 60s.
	DrainTimeout time.Duration `yaml:"drain_timeout" default:"60s" check:"positive"`
	Limits       GatewayLimits `yaml:"limits"`
	TLS          TLS           `yaml:"tls"`
	Log          Log           `yaml:"log"`
}

// GatewayLimits bounds what one gateway takes on.
type GatewayLimits struct {
	HeaderBytes  int           `yaml:"header_bytes" default:"16384" check:"positive"`
	BodyBytes    int           `yaml:"body_bytes" default:"4194304" check:"positive"`
	InFlight     int           `yaml:"in_flight" default:"4096" check:"positive"`
	QueueLength  int           `yaml:"queue_length" default:"1024" check:"positive"`
	ReadTimeout  time.Duration `yaml:"read_timeout" default:"10s" check:"positive"`
	WriteTimeout time.Duration `yaml:"write_timeout" default:"10s" check:"positive"` // a slow reader's whole stall
}

// TLS names the files of the fleet authority and of this process; all or none are set.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Enabled reports whether the files are named, so that connections are encrypted.
func (t TLS) Enabled() bool { return t.Authority != "" }

// Log bounds the log ring in memory.
type Log struct {
	// RingEntries is the number of entries held in memory; default 4096.
	RingEntries int `yaml:"ring_entries" default:"4096" check:"positive"`
	// DumpDirectory receives the ring when something goes wrong; default: standard error.
	DumpDirectory string `yaml:"dump_directory"`
}
