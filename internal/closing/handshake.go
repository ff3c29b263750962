package closing

import (
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header; synFlag is the flag that starts a handshake.
	tcpFlagsOffset = 13
	synFlag        = 0x02
	// acceptWholePacket makes the filter accept a packet without truncation.
	acceptWholePacket = 1 << 18
)

// dropHandshakes makes a listening socket drop the packets that start a handshake, so that its queue only
// shrinks. The clients retransmit a second later and then find the port closed.
func dropHandshakes(raw syscall.RawConn) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: synFlag, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: acceptWholePacket},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	filter := make([]unix.SockFilter, 0, len(program))
	for _, instruction := range program {
		filter = append(filter, unix.SockFilter{Code: instruction.Op, Jt: instruction.Jt, Jf: instruction.Jf, K: instruction.K})
	}
	var optionErr error
	if err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(filter)), Filter: &filter[0],
		})
	}); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(optionErr)
}
