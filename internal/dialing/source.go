package dialing

import (
	"net"
	"time"

	"github.com/gravitational/trace"
)

// FromSource returns a Dial whose connections leave from a source IP and open within the limit. An
// empty source is any, a limit of 0 none.
func FromSource(source string, limit time.Duration) (Dial, error) {
	dialer := net.Dialer{Timeout: limit}
	if source != "" {
		ip := net.ParseIP(source)
		if ip == nil {
			return nil, trace.BadParameter("source address %q is not an IP number", source)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext, nil
}
