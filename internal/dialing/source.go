package dialing

import (
	"net"
	"time"

	"github.com/gravitational/trace"
)

// FromSource returns a Dial with the given source IP address and a limit on the time to connect. An empty source
// lets the system choose; a limit of 0 means no limit.
func FromSource(source string, limit time.Duration) (Dial, error) {
	dialer := net.Dialer{Timeout: limit}
	if source != "" {
		ip := net.ParseIP(source)
		if ip == nil {
			return nil, trace.BadParameter("source address %q is not an IP address", source)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext, nil
}
