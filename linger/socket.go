package linger

import (
	"net"
	"time"

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

// LastSent returns when data was last sent on a TCP connection, or the zero time if
// the system does not tell. A peer that has received everything did so a round trip
// later.
func LastSent(conn net.Conn, now time.Time) (at time.Time) {
	control(conn, func(fd int) {
		// Systems that do not keep the time report 0.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Last_data_sent > 0 {
			at = now.Add(-time.Duration(info.Last_data_sent) * time.Millisecond)
		}
	})
	return at
}

// LimitStall makes the system reset a TCP connection whose peer acknowledges nothing,
// or does not open its window, for StallTimeout while something was written to it.
// Unlike a deadline it costs nothing on each write. One that takes single bytes is
// not limited.
func LimitStall(conn net.Conn) {
	control(conn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(StallTimeout.Milliseconds()))
	})
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
