package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
)

// siteInstruments are the metrics of a leader that serves relays; at other controllers their values are 0.
type siteInstruments struct {
	relays, waitingWatches             prometheus.Gauge
	formerRelays, repeatedUpdates      prometheus.Gauge
	backEnds, publishedBackEnds, pages prometheus.Gauge
	updatesPerSecond, quorumSilence    prometheus.Gauge
	movesBySpeed, enginesMissingGap    prometheus.Gauge
}

func newSiteInstruments(factory metrics.Factory) siteInstruments {
	return siteInstruments{
		relays:            factory.Gauge("relays", "Relays heard of lately."),
		formerRelays:      factory.Gauge("relays_of_former_formats", "Relays heard of lately that do not know the newest format of this controller."),
		repeatedUpdates:   factory.Gauge("news_told_again", "Answers with news that a relay was told before and still did not hold, since this process began."),
		movesBySpeed:      factory.Gauge("stage_moves_by_speed", "Engines that were ordered into another stage because of their speed, since this process began."),
		enginesMissingGap: factory.Gauge("engines_missing_gap", "Engines that relays report as too slow to decode within the gap targets."),
		waitingWatches:    factory.Gauge("watches_waiting", "Questions of relays that wait for something new or for their turn."),
		backEnds:          factory.Gauge("back_ends_listed", "Back ends in the last reading of the whole outside list."),
		publishedBackEnds: factory.Gauge("back_ends_told", "Back ends that relays are told of."),
		pages:             factory.Gauge("listing_pages", "Pages of the outside list that are read most of the time; 0 is all."),
		updatesPerSecond:  factory.Gauge("news_per_second", "Relays that may be told of news a second."),
		quorumSilence:     factory.Gauge("quorum_silence_seconds", "Time since a quorum of controllers was heard of."),
	}
}

// set updates the gauges from the status of a site.
func (s siteInstruments) set(site control.SiteStatus) {
	s.relays.Set(float64(site.Relays))
	s.formerRelays.Set(float64(site.OutdatedRelays))
	s.repeatedUpdates.Set(float64(site.RepeatedUpdates))
	s.movesBySpeed.Set(float64(site.MovesBySpeed))
	s.enginesMissingGap.Set(float64(site.EnginesMissingGap))
	s.waitingWatches.Set(float64(site.WaitingWatches))
	s.backEnds.Set(float64(site.BackEnds))
	s.publishedBackEnds.Set(float64(site.PublishedBackEnds))
	s.pages.Set(float64(site.Pages))
	s.updatesPerSecond.Set(site.UpdatesPerSecond)
	s.quorumSilence.Set(site.QuorumSilence.Seconds())
}
