package dialing

import (
	"net"
	"time"

	"github.com/gravitational/trace"
)

// FromSource returns a Dial with the given source IP address and a limit on the time to connect. An empty source
// lets the system choose; a limit of 0 means no limit.
func FromSource(source string, limit time.Duration) (Dial, error) {
	dialer, err := dialerFrom(source)
	if err != nil {
		return nil, err
	}
	dialer.Timeout = limit
	return dialer.DialContext, nil
}

// dialerFrom returns a dialer with the given source IP address; an empty source lets the system choose.
func dialerFrom(source string) (net.Dialer, error) {
	if source == "" {
		return net.Dialer{}, nil
	}
	ip := net.ParseIP(source)
	if ip == nil {
		return net.Dialer{}, trace.BadParameter("source address %q is not an IP address", source)
	}
	return net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}, nil
}
