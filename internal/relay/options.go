package relay

import (
	"context"
	"net"
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Options are what the surrounding process supplies to a relay.
type Options struct {
	// Dialect is required.
	Dialect Dialect
	// ReadListing reads the given number of pages of the platform's list of back ends, 0 for all. It is required, and is
	// called only while there is no leader.
	ReadListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	// ReadCache reads which blocks an engine has cached; nil when engines do not offer that.
	ReadCache func(ctx context.Context, client *http.Client, engine serving.BackEnd) (serving.CacheReport, error)
	// ProbeLoad asks an engine for its load by a health check; nil when engines do not offer that.
	ProbeLoad func(ctx context.Context, client *http.Client, engine serving.BackEnd, path string) (LoadProbe, error)
	// Listen opens a listener; nil means closing.Listen.
	Listen func(network, address string) (net.Listener, error)
	// ListenPacket opens a datagram socket; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Dial opens outgoing connections other than those to controllers; nil means dialing.WithDeadPeerDetection.
	Dial dialing.Dial
	// DialControllers opens connections to controllers; nil means dialing.ToPeers.
	DialControllers dialing.Dial
	// Reloaded delivers settings that were read again; nil for none.
	Reloaded <-chan settings.Relay
	// Without holds the mechanisms that are disabled; it is empty in production.
	Without mechanism.Set
	// Features are the optional features that the deployment calls for.
	Features Features
	// Log is required.
	Log *logring.Log
}
