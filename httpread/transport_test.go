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
	framingtest.Check(t, func(segments [][]byte, end error) ([]byte, error) {
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
	}, false)
}
