package controller

import (
	"crypto/rand"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// plannerOff disables the planner in control.Config.
const plannerOff = -1

// coreConfig builds the Core's configuration from the settings. Time 0 of Step is origin.
func coreConfig(config settings.Controller, site *Site, origin time.Time) control.Config {
	peers := make([]consensus.Peer, len(config.Peers))
	for index, peer := range config.Peers {
		peers[index] = consensus.Peer{Name: peer.Name, Address: peer.Address, Zone: peer.Zone}
	}
	planInterval := config.PlanInterval
	if planInterval == 0 {
		planInterval = plannerOff
	}
	result := control.Config{
		Fleet: config.Fleet, Name: config.Name, Zone: config.Zone, Address: config.Listen,
		Peers:             peers,
		WallOrigin:        origin.UnixMilli(),
		ElectionTimeout:   config.ElectionTimeout,
		HeartbeatInterval: config.HeartbeatInterval,
		PlanInterval:      planInterval,
		Seed:              newSeed(),
	}
	if site != nil {
		result.Seeds, result.Bootstrap, result.FormationSize = site.Seeds, site.Bootstrap, site.FormationSize
		result.ListingInterval = site.ListingInterval
		result.Without = site.Without
		result.Usage, result.DutyInterval, result.DutyLifetime = site.Usage, site.DutyInterval, site.DutyLifetime
		result.ReadServices, result.OnDemandShare = site.ReadServices, site.OnDemandShare
		result.NamedServices = site.NamedServices
		result.PriorPrefillShare, result.OrderWait, result.OrderLifetime = site.PriorPrefillShare, site.OrderWait, site.OrderLifetime
	}
	return result
}

// newSeed draws the Core's seed from the operating system.
func newSeed() (seed [32]byte) {
	_, _ = rand.Read(seed[:]) // never fails
	return seed
}
