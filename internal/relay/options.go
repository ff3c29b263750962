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

// Options are what the process around a relay decides.
type Options struct {
	// Dialect is required.
	Dialect Dialect
	// ReadListing reads so many pages of the outside list of back ends, 0 for all; required. It is
	// called only while no controller leads.
	ReadListing func(ctx context.Context, client *http.Client, pages int) (serving.Listing, error)
	// ReadCache reads what an engine has cached; nil where that cannot be asked.
	ReadCache func(ctx context.Context, client *http.Client, engine serving.BackEnd) (serving.CacheReport, error)
	// Listen opens a listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// ListenPacket opens a datagram socket; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Dial opens outgoing connections; nil means the system's.
	Dial dialing.Dial
	// Reloaded brings settings that were read again; nil for none.
	Reloaded <-chan settings.Relay
	// Without are mechanisms that are left out; none for users.
	Without mechanism.Set
	// Log is required.
	Log *logring.Log
}
