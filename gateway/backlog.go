package gateway

import (
	"net"
	"os"

	"golang.org/x/sys/unix"

	"pistachioford.example/pistachioford/telemetry"
)

// acceptPending accepts the connections that wait in the backlog of a listener
// whose deadline has passed, and stops it from listening right after the last
// one: the end of a listener resets the connections that are still in its
// backlog.
func acceptPending(listener *net.TCPListener) []net.Conn {
	raw, err := listener.SyscallConn()
	if err != nil {
		telemetry.Failure("accept_pending", err)
		return nil
	}
	var sockets []int
	err = raw.Control(func(fd uintptr) { sockets = acceptAll(int(fd)) })
	if err != nil {
		telemetry.Failure("accept_pending", err)
	}
	var conns []net.Conn
	for _, socket := range sockets {
		if conn := connFromDescriptor(socket); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// acceptAll accepts connections of a listening socket until none is pending,
// and then stops it from listening.
func acceptAll(listener int) (sockets []int) {
	for {
		socket, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			sockets = append(sockets, socket)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			_ = unix.Shutdown(listener, unix.SHUT_RDWR)
			return sockets
		}
	}
}

// connFromDescriptor takes over a socket. It returns nil if that fails.
func connFromDescriptor(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		telemetry.Failure("accept_pending", err)
		return nil
	}
	return conn
}
