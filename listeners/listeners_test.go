package listeners

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	failures atomic.Int32
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Guards against a port that is never served again after the process ran out of
// file descriptors for a moment.
func TestServerOutlivesALackOfDescriptors(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener := &failing{Listener: inner}
	listener.failures.Store(3)
	ended := make(chan error, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") }}
	go func() { ended <- server.Serve(Persistent(listener)) }()
	status, body, err := fasthttp.Get(nil, "http://"+inner.Addr().String()+"/")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(string(body), "served")
	is.NoErr(inner.Close())
	if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("the server ended with %v", err)
	}
}
