package httpread

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrBodyTooLarge reports a body beyond the limit of its client.
var ErrBodyTooLarge = errors.New("the body of the response is too large")

// Transport makes a client of fasthttp read responses with this package, and
// refuse those whose end only the end of the connection marks. The client must
// set MaxResponseBodySize and must not ask for streamed bodies.
type Transport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (Transport) RoundTrip(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	pooled, err := client.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	conn := pooled.Conn()
	reusable, err := exchange(client, conn, req, resp, timeout)
	if reusable {
		client.ReleaseConn(pooled)
	} else {
		client.CloseConn(pooled)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		err = fasthttp.ErrTimeout
	}
	return false, err
}

// exchange writes a request and reads the response. reusable reports whether the
// connection may carry another request.
func exchange(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) (reusable bool, err error) {
	if err := conn.SetWriteDeadline(earliest(timeout, client.WriteTimeout)); err != nil {
		return false, err
	}
	if err := conn.SetReadDeadline(earliest(timeout, client.ReadTimeout)); err != nil {
		return false, err
	}
	writer := client.AcquireWriter(conn)
	defer client.ReleaseWriter(writer)
	if err := req.Write(writer); err != nil {
		return false, err
	}
	if err := writer.Flush(); err != nil {
		return false, err
	}
	reader := client.AcquireReader(conn)
	defer client.ReleaseReader(reader)
	if err := ReadFinalHead(reader, &resp.Header); err != nil {
		return false, err
	}
	if resp.Header.ContentLength() > client.MaxResponseBodySize {
		return false, ErrBodyTooLarge
	}
	body, unframed, err := Body(reader, &resp.Header, req.Header.IsHead())
	switch {
	case err != nil:
		return false, err
	case unframed:
		return false, ErrEndInDoubt
	}
	content, err := io.ReadAll(io.LimitReader(body, int64(client.MaxResponseBodySize)+1))
	switch {
	case err != nil:
		return false, fmt.Errorf("body after %d bytes: %w", len(content), err)
	case len(content) > client.MaxResponseBodySize:
		return false, ErrBodyTooLarge
	}
	resp.SetBodyRaw(content)
	closing := resp.Header.ConnectionClose() || req.ConnectionClose()
	return !closing && reader.Buffered() == 0, nil
}

// earliest returns the deadline of the shorter of two timeouts, of which 0 means
// none.
func earliest(a, b time.Duration) time.Time {
	if a == 0 || b > 0 && b < a {
		a = b
	}
	if a == 0 {
		return time.Time{}
	}
	return time.Now().Add(a)
}
