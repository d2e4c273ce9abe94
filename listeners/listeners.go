// Package listeners keeps listeners in service.
package listeners

import (
	"errors"
	"net"
	"time"

	"pistachioford.example/pistachioford/telemetry"
)

// retryDelay is the pause after a failed accept. Descriptors become free as
// connections close.
const retryDelay = 50 * time.Millisecond

// Persistent returns a listener that goes on accepting after errors, such as a
// lack of file descriptors. HTTP servers end at the first error, and nobody would
// accept on the open listener any more.
func Persistent(listener net.Listener) net.Listener { return persistent{listener} }

type persistent struct{ net.Listener }

// Accept returns an error only if the listener is closed or its deadline has
// passed.
func (p persistent) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return conn, err
		}
		telemetry.Failure("accept", err, telemetry.F("address", p.Addr()))
		time.Sleep(retryDelay)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
