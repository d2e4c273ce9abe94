package peer

import (
	"expvar"
	"net"
)

// Bytes of all links of the process, TLS included and TCP headers left out, so
// that operators see the cost of control.
var (
	sentBytes     = expvar.NewInt("pistachioford.peer_sent_bytes")
	receivedBytes = expvar.NewInt("pistachioford.peer_received_bytes")
)

// Count returns a listener whose connections count their bytes.
func Count(listener net.Listener) net.Listener { return countingListener{listener} }

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
