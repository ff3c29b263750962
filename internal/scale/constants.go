package scale

import "time"

// The settings of hollow processes are the product's defaults.
const (
	fleetName         = "scale"
	electionTimeout   = time.Second
	heartbeatInterval = 100 * time.Millisecond
	dutyInterval      = time.Second
	syncInterval      = time.Second
	ringEntries       = 256
	nodeInFlight      = 4096
	nodeQueueLength   = 1024
)
