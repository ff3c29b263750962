package closing

import (
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// flagsOffset is where a TCP header has its flags; synchronize is the one that begins a handshake.
	flagsOffset = 13
	synchronize = 0x02
	// wholePacket lets a packet pass uncut.
	wholePacket = 1 << 18
)

// refuseHandshakes lets a listening socket drop packets that begin a handshake, so that its queue only
// shrinks. Those who sent one try again a second later and then find the port closed.
func refuseHandshakes(raw syscall.RawConn) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: synchronize, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: wholePacket},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	filter := make([]unix.SockFilter, 0, len(program))
	for _, each := range program {
		filter = append(filter, unix.SockFilter{Code: each.Op, Jt: each.Jt, Jf: each.Jf, K: each.K})
	}
	var failed error
	if err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(filter)), Filter: &filter[0],
		})
	}); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(failed)
}
