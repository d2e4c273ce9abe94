package peer

import (
	"expvar"
	"net"
)

// These counters hold the bytes of all peer connections of the process,
// including TLS and without TCP headers. They show operators the cost of control
// traffic.
var (
	sentBytes     = expvar.NewInt("pistachioford.peer_sent_bytes")
	receivedBytes = expvar.NewInt("pistachioford.peer_received_bytes")
)

// CountBytes returns a listener whose connections add their bytes to the
// counters.
func CountBytes(listener net.Listener) net.Listener { return countingListener{listener} }

type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn}, nil
}

type countingConn struct{ net.Conn }

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(int64(n))
	return n, err
}
