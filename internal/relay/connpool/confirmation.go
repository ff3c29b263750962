package connpool

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// MaxConfirmationAge is the age of the last acknowledgement from which an unanswered keep-alive probe makes an idle
// connection unusable. Probes go out 1 s after the last segment (internal/dialing), and round trips take less than 0.3 s.
const MaxConfirmationAge = 1300 * time.Millisecond

// isUnconfirmed reports whether the peer of an idle connection leaves the kernel's keep-alive probes without an answer. It
// sends nothing. A connection without access to its socket counts as confirmed.
func isUnconfirmed(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || optionErr != nil {
		return false
	}
	return info.Probes > 0 && time.Duration(info.Last_ack_recv)*time.Millisecond >= MaxConfirmationAge
}
