package linger

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unreceived returns how many bytes were written to a TCP connection and not
// acknowledged by its peer. It returns 0 if the system does not tell.
func Unreceived(conn net.Conn) int {
	left := 0
	control(conn, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			left = n
		}
	})
	return left
}

func control(conn net.Conn, f func(fd int)) {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcpConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
