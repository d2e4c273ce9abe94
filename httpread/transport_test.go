package httpread_test

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/httpread"
	"pistachioford.example/pistachioford/httpread/framingtest"
)

// scriptedConn is a connection on which a response arrives, whatever is written.
type scriptedConn struct {
	framingtest.Connection
}

func (*scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*scriptedConn) Close() error                     { return nil }
func (*scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a client of the store, of a relay or of an instance that takes a
// response with one wrong byte in its framing for a complete one.
func TestChangedFramingNeverYieldsAnotherBody(t *testing.T) {
	framingtest.Check(t, readThroughClient, false)
}

// Guards against a client of the store, of a relay, of a health endpoint or of the
// operators' port that takes a response for a sound one whose status does not exist,
// or with a line whose name holds a blank or a control byte.
func TestDamagedHeadsAreRefused(t *testing.T) {
	framingtest.CheckHeads(t, readThroughClient)
}

func readThroughClient(segments [][]byte, end error) ([]byte, error) {
	client := &fasthttp.HostClient{
		Addr: "store", Transport: httpread.Transport{}, MaxResponseBodySize: 1 << 20, MaxIdemponentCallAttempts: 1,
		Dial: func(string) (net.Conn, error) {
			return &scriptedConn{framingtest.Connection{Segments: segments, Err: end}}, nil
		},
	}
	defer client.CloseIdleConnections()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://store/rows-get")
	if err := client.Do(req, resp); err != nil {
		return nil, err
	}
	return resp.Body(), nil
}
