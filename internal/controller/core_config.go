package controller

import (
	"crypto/rand"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// plannerOff switches the planner off in control.Config.
const plannerOff = -1

// coreConfig makes the Core's configuration from the settings. Step's time 0 is origin.
func coreConfig(config settings.Controller, site *Site, origin time.Time) control.Config {
	peers := make([]consensus.Peer, len(config.Peers))
	for index, peer := range config.Peers {
		peers[index] = consensus.Peer{Name: peer.Name, Address: peer.Address, Zone: peer.Zone}
	}
	planInterval := config.PlanInterval
	if planInterval == 0 {
		planInterval = plannerOff
	}
	built := control.Config{
		Fleet: config.Fleet, Name: config.Name, Zone: config.Zone, Address: config.Listen,
		Peers:             peers,
		WallOrigin:        origin.UnixMilli(),
		ElectionTimeout:   config.ElectionTimeout,
		HeartbeatInterval: config.HeartbeatInterval,
		PlanInterval:      planInterval,
		Seed:              newSeed(),
	}
	if site != nil {
		built.Seeds, built.Bootstrap, built.FormationSize = site.Seeds, site.Bootstrap, site.FormationSize
		built.ListingInterval = site.ListingInterval
		built.Without = site.Without
		built.Usage, built.DutyInterval, built.DutyLifetime = site.Usage, site.DutyInterval, site.DutyLifetime
		built.ReadConfiguration, built.OnDemandShare = site.ReadConfiguration, site.OnDemandShare
		built.NamedServices = site.NamedServices
		built.PriorPrefillShare, built.OrderWait, built.OrderLifetime = site.PriorPrefillShare, site.OrderWait, site.OrderLifetime
	}
	return built
}

// newSeed draws the Core's seed from the operating system.
func newSeed() (seed [32]byte) {
	_, _ = rand.Read(seed[:]) // never fails
	return seed
}
