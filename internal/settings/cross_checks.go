package settings

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// minimumHeartbeatsPerElection is the smallest number of heartbeats in an election timeout:
// one late heartbeat must not start an election.
const minimumHeartbeatsPerElection = 4

func checkTLS(document *yamlfile.Document, tls TLS) {
	named := 0
	for _, path := range []string{tls.Authority, tls.Certificate, tls.Key} {
		if path != "" {
			named++
		}
	}
	if named != 0 && named != 3 {
		document.Report("tls", "names some of its files", "set authority, certificate and key, or none of them")
	}
}

func checkTimeouts(document *yamlfile.Document, controller *Controller) {
	if controller.ElectionTimeout < minimumHeartbeatsPerElection*controller.HeartbeatInterval {
		document.Report("election_timeout", fmt.Sprintf("%v is too short for heartbeats every %v", controller.ElectionTimeout, controller.HeartbeatInterval),
			fmt.Sprintf("make it at least %d heartbeat intervals", minimumHeartbeatsPerElection))
	}
}

func checkPeers(document *yamlfile.Document, controller *Controller) {
	names, addresses := map[string]bool{}, map[string]bool{}
	for index, peer := range controller.Peers {
		key := fmt.Sprintf("peers[%d]", index)
		if names[peer.Name] {
			document.Report(key+".name", fmt.Sprintf("%q stands twice", peer.Name), "give each peer its own name")
		}
		if addresses[peer.Address] {
			document.Report(key+".address", fmt.Sprintf("%q stands twice", peer.Address), "give each peer its own address")
		}
		names[peer.Name], addresses[peer.Address] = true, true
	}
	if !controller.Join && !names[controller.Name] {
		document.Report("peers", fmt.Sprintf("does not hold this process, %q", controller.Name), "add it, or set join: true on a machine that joins later")
	}
}

func checkOnDemandShare(document *yamlfile.Document, controller *SiteController) {
	if controller.OnDemandShare > 1 {
		document.Report("on_demand_share", fmt.Sprintf("%v is more than all replicas", controller.OnDemandShare), "write a part from 0 to 1")
	}
}
