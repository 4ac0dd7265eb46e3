package entry

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Offset of the flags byte in the TCP header, and flags in it.
const (
	tcpFlagsOffset = 13
	tcpSyn         = 0x02
	tcpAck         = 0x10
)

// dropNewConnections attaches a socket filter that drops TCP segments that have
// SYN but not ACK set.
func dropNewConnections(l net.Listener) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	const keepAll = 0x40000
	code := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSyn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepAll},
	}
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return err
	}
	return attachErr
}
