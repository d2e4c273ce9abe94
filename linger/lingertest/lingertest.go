// Package lingertest has callers that read slowly, for tests.
package lingertest

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is the size of the receive buffers of Dialer, pieceBytes what
	// SlowReader reads at once.
	receiveBuffer = 4 << 10
	pieceBytes    = 1 << 10
)

// Dialer opens connections with a small receive buffer: what is not read waits at
// the other side.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return SetReceiveBuffer(raw, receiveBuffer)
	}}
}

// SetReceiveBuffer sets the size of a socket's receive buffer, before it is
// connected or listens.
func SetReceiveBuffer(raw syscall.RawConn, size int) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	return errors.Join(err, sockErr)
}

// SlowReader reads from a connection at a rate in bytes/s.
type SlowReader struct {
	Conn net.Conn
	Rate int
}

// Read implements io.Reader.
func (r SlowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p[:min(len(p), pieceBytes)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.Rate))
	return n, err
}
