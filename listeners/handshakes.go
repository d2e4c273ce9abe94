package listeners

import (
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pistachioford.example/pistachioford/telemetry"
)

const (
	// handshakeTime is how long a handshake may take that has begun when new
	// connections are refused: some round trips between distant regions.
	handshakeTime = 250 * time.Millisecond
	// noInterface is the index of no network interface.
	noInterface = math.MaxInt32
)

// FinishHandshakes makes a listener refuse new connections, like a closed port,
// and waits until the handshakes that have begun are over. The caller must go on
// accepting meanwhile. The end of a listener resets connections that callers see
// as open: those in its backlog, and those whose handshake ends later.
//
// It returns at once if the listener is closed, gives no access to its socket, or
// the system does not support this, which it logs.
func FinishHandshakes(ctx context.Context, listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	if err := refuseNew(socket); err != nil {
		if !errors.Is(err, net.ErrClosed) {
			telemetry.Failure("refuse_connections", err, telemetry.F("address", listener.Addr()))
		}
		return
	}
	timer := time.NewTimer(handshakeTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refuseNew binds a listening socket to a network interface that does not exist.
// No new connection matches the socket any more; a handshake that has begun
// refers to it and keeps the interface that it began on.
func refuseNew(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err != nil {
		return err
	}
	return sockErr
}
