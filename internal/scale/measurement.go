package scale

// Role is a role of control whose cost is measured.
type Role string

// Roles.
const (
	RoleGateway Role = "gateway"
	RoleLeader  Role = "controller leader"
	RoleVoter   Role = "controller voter"
	RoleStandby Role = "controller standby"
	RoleEngine  Role = "engine (hollow)"
)

// RoleUsage is what one member of a role uses on average.
type RoleUsage struct {
	Role  Role `json:"role"`
	Count int  `json:"count"`
	// Processor is the share of one core; below 0 when it cannot be told.
	Processor float64 `json:"processor"`
	// Resident is the process's memory; of a gateway its part of the live heap.
	Resident int64 `json:"resident_bytes"`
	// Disk is the size of the data directory.
	Disk int64 `json:"disk_bytes"`
	// Received and Sent are bytes a second on the wire.
	Received float64 `json:"received_bytes_per_second"`
	Sent     float64 `json:"sent_bytes_per_second"`
	// Largest is the greatest Received plus Sent of one member.
	Largest float64 `json:"largest_bytes_per_second"`
}

// DutyUsage is what one duty costs one member of a role on average.
type DutyUsage struct {
	Role Role   `json:"role"`
	Duty string `json:"duty"`
	// Messages a second: calls, exchanges, or steps of the core.
	Messages float64 `json:"messages_per_second"`
	// Received and Sent are encoded bytes a second without the protocol around them.
	Received float64 `json:"received_bytes_per_second"`
	Sent     float64 `json:"sent_bytes_per_second"`
	// Core is the share of one core that the pure core spends.
	Core float64 `json:"core"`
}

// ProfileUsage is a part of a role's processor time by where its stacks are.
type ProfileUsage struct {
	Role Role   `json:"role"`
	Part string `json:"part"`
	// Processor is the share of one core for one member.
	Processor float64 `json:"processor"`
}

// TrafficCounts are the requests decided in the window.
type TrafficCounts struct {
	Begun    int64            `json:"begun"`
	Refused  int64            `json:"refused"`
	Claimed  int64            `json:"claimed"`
	Refusals map[string]int64 `json:"refusals"`
	// Since the start of the traffic: requests by the distance from node to engine, and
	// KV caches handed over by the distance between the engines.
	Distance Distances `json:"distance"`
	HandOver Distances `json:"hand_over"`
}

// Distances counts by distance: inside a zone, between zones of a region, between regions.
type Distances struct {
	Zone   int64 `json:"zone"`
	Region int64 `json:"region"`
	Far    int64 `json:"far"`
}

// Measurement is one window of a fleet.
type Measurement struct {
	Plan     Plan           `json:"plan"`
	Seconds  float64        `json:"seconds"`
	Revision uint64         `json:"revision"`
	Roles    []RoleUsage    `json:"roles"`
	Duties   []DutyUsage    `json:"duties"`
	Profile  []ProfileUsage `json:"profile"`
	Traffic  TrafficCounts  `json:"traffic"`
	// LeaderChanges counts the terms begun in the window.
	LeaderChanges float64 `json:"leader_changes"`
	// Spreads are the changes submitted after the window.
	Spreads []ChangeSpread `json:"spreads"`
}

// ChangeSpread is a series of changes and how they spread.
type ChangeSpread struct {
	Name    string `json:"name"`
	Changes int    `json:"changes"`
	// Accept is the time from submitting to acceptance, in seconds.
	AcceptP50 float64 `json:"accept_p50"`
	AcceptMax float64 `json:"accept_max"`
	// Slowest is over the changes: from acceptance to in force at the slowest node.
	SlowestP50 float64 `json:"slowest_p50"`
	SlowestP99 float64 `json:"slowest_p99"`
	SlowestMax float64 `json:"slowest_max"`
	Missing    int     `json:"missing"`
}

// Role returns the usage of a role, or nil.
func (m *Measurement) Role(role Role) *RoleUsage {
	for position := range m.Roles {
		if m.Roles[position].Role == role {
			return &m.Roles[position]
		}
	}
	return nil
}

// Duty returns the usage of a role's duty, or nil.
func (m *Measurement) Duty(role Role, duty string) *DutyUsage {
	for position := range m.Duties {
		if m.Duties[position].Role == role && m.Duties[position].Duty == duty {
			return &m.Duties[position]
		}
	}
	return nil
}
