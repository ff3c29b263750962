// Package settings reads and checks the settings files of hazelpitch's
// processes. A file is checked as a whole before it takes effect; an error
// names the file, line, key and remedy. Flags override the file.
//
// The struct tags declare the rules: `yaml` is the key, `default` its value when
// the key is absent, and `check` lists the rules, which package yamlfile implements.
package settings

import "time"

// Controller holds the settings of `hazelpitch controller`.
type Controller struct {
	// Name is unique in the fleet and appears in logs and queries. Required.
	Name string `yaml:"name" check:"required"`
	// Fleet is the name of the fleet, equal on all its processes; it guards against a controller of another
	// fleet. Required.
	Fleet string `yaml:"fleet" check:"required"`
	// Zone is the zone of this machine. Required.
	Zone string `yaml:"zone" check:"required"`
	// Listen is the IP:port for peers, nodes and operators. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// SourceAddress is the source IP of outgoing connections; default: any.
	SourceAddress string `yaml:"source_address" check:"ip"`
	// DataDirectory holds the log, snapshots and the identity of the disk. Required.
	DataDirectory string `yaml:"data_directory" check:"required"`
	// Peers are the initial voters, including this process; on a controller that
	// joins later, the controllers that can admit it. Required.
	Peers []Peer `yaml:"peers" check:"required"`
	// Join means that this controller is not an initial voter: a standby or a replacement.
	Join bool `yaml:"join"`
	// MachineList is the IP:port of the platform's machine list. Required.
	MachineList string `yaml:"machine_list" check:"required,address"`
	// OperatorKeyHash is the SHA-256 (hex) of the first administrator's key. Required.
	OperatorKeyHash string `yaml:"operator_key_hash" check:"required,sha256"`
	// ElectionTimeout is the shortest time without a message from the leader after which a controller starts an election;
	// default 1s. HeartbeatInterval is the time between the leader's heartbeats; default 100ms.
	ElectionTimeout   time.Duration `yaml:"election_timeout" default:"1s" check:"positive"`
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" default:"100ms" check:"positive"`
	// PlanInterval is the time between planner decisions; default 1s. 0 turns the planner off.
	PlanInterval time.Duration `yaml:"plan_interval" default:"1s" check:"not-negative"`
	// MachineListInterval is the time between reads of the machine list; default 1s.
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

// Gateway holds the settings of `hazelpitch gateway`.
type Gateway struct {
	Name  string `yaml:"name" check:"required"`
	Fleet string `yaml:"fleet" check:"required"`
	Zone  string `yaml:"zone" check:"required"`
	// Listen is the IP:port for callers. Required.
	Listen string `yaml:"listen" check:"required,address"`
	// AdminListen is the IP:port for health, readiness, metrics and the log ring. Required.
	AdminListen string `yaml:"admin_listen" check:"required,address"`
	// SourceAddress is the source IP of outgoing connections; default: any.
	SourceAddress string `yaml:"source_address" check:"ip"`
	// Controllers are the IP:port of all controllers. Required.
	Controllers []string `yaml:"controllers" check:"required,address"`
	// ZoneLatency is the one-way latency to each other zone; routing prefers near zones.
	ZoneLatency map[string]time.Duration `yaml:"zone_latency" check:"not-negative"`
	// SyncInterval is the time between heartbeats to a controller; default 1s.
	SyncInterval time.Duration `yaml:"sync_interval" default:"1s" check:"positive"`
	// DrainTimeout is the longest time that a stopping gateway waits for its streams; default 60s.
	DrainTimeout time.Duration `yaml:"drain_timeout" default:"60s" check:"positive"`
	Limits       GatewayLimits `yaml:"limits"`
	TLS          TLS           `yaml:"tls"`
	Log          Log           `yaml:"log"`
}

// GatewayLimits bounds the load of one gateway.
type GatewayLimits struct {
	HeaderBytes  int           `yaml:"header_bytes" default:"16384" check:"positive"`
	BodyBytes    int           `yaml:"body_bytes" default:"4194304" check:"positive"`
	AnswerBytes  int           `yaml:"answer_bytes" default:"67108864" check:"positive"` // of all long answers that are held at once
	InFlight     int           `yaml:"in_flight" default:"4096" check:"positive"`
	QueueLength  int           `yaml:"queue_length" default:"1024" check:"positive"`
	ReadTimeout  time.Duration `yaml:"read_timeout" default:"10s" check:"positive"`
	WriteTimeout time.Duration `yaml:"write_timeout" default:"10s" check:"positive"` // longest stall of a slow reader
}

// TLS names the files of the fleet authority and of this process; either all or none are set.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Enabled reports whether the files are set, so that connections use TLS.
func (t TLS) Enabled() bool { return t.Authority != "" }

// Log configures the log ring in memory.
type Log struct {
	// RingEntries is the number of entries kept in memory; default 4096.
	RingEntries int `yaml:"ring_entries" default:"4096" check:"positive"`
	// DumpDirectory receives dumps of the ring; default: standard error.
	DumpDirectory string `yaml:"dump_directory"`
}
