package httpread

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
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
	began, timeout := time.Now(), req.GetTimeOut()
	pooled, err := client.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(client, pooled.Conn(), req, resp, deadlineOf(began, timeout))
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
func exchange(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (reusable bool, err error) {
	if err := conn.SetWriteDeadline(earliest(deadline, deadlineOf(time.Now(), client.WriteTimeout))); err != nil {
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
	if err := conn.SetReadDeadline(earliest(deadline, deadlineOf(time.Now(), client.ReadTimeout))); err != nil {
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
	content, err := readUpTo(body, client.MaxResponseBodySize)
	if err != nil {
		return false, err
	}
	resp.SetBodyRaw(content)
	closing := resp.Header.ConnectionClose() || req.ConnectionClose()
	return !closing && reader.Buffered() == 0, nil
}

const (
	// firstPiece and maxPiece are the sizes of the first and of the largest
	// pieces in which a body is read.
	firstPiece = 4 << 10
	maxPiece   = 256 << 10
)

// readUpTo reads a body of at most limit bytes. It holds little more than what has
// arrived, since a buffer that grows would leave several times as much to the
// garbage collector.
func readUpTo(body io.Reader, limit int) ([]byte, error) {
	pieces := [][]byte{make([]byte, 0, firstPiece)}
	for length := 0; ; {
		piece := pieces[len(pieces)-1]
		if len(piece) == cap(piece) {
			piece = make([]byte, 0, min(2*cap(piece), maxPiece))
			pieces = append(pieces, piece)
		}
		n, err := body.Read(piece[len(piece):cap(piece)])
		pieces[len(pieces)-1] = piece[:len(piece)+n]
		switch length += n; {
		case length > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF && len(pieces) == 1:
			return pieces[0], nil
		case err == io.EOF:
			return slices.Concat(pieces...), nil
		case err != nil:
			return nil, fmt.Errorf("body after %d bytes: %w", length, err)
		}
	}
}

// deadlineOf returns the end of a timeout, or the zero time if it is 0, which
// means that there is none.
func deadlineOf(began time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return began.Add(timeout)
}

// earliest returns the earlier of two deadlines, of which the zero time means
// none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
