package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/httpread"
)

// Body is the body of a request: buffered bytes, followed by the rest of the
// caller's stream if the body is larger.
type Body struct {
	Buffered []byte
	// Rest is nil if Buffered is the whole body.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if the body is chunked.
	Length int
}

// ExchangeResult describes the end of an exchange, or the start of a streamed
// response.
type ExchangeResult struct {
	Result   traffic.Result
	Response *Response
	// Err is the reason why the exchange did not complete.
	Err error
}

// Exchange is one attempt. Do is called once; any goroutine may call Cancel.
type Exchange struct {
	// These fields belong to the goroutine of the exchange.
	pool       *Pool
	activeConn *countingConn
	reader     *bufio.Reader

	// mu guards cancelableConn, which Cancel aborts, and canceled.
	mu             sync.Mutex
	cancelableConn *countingConn
	canceled       bool
}

// Reset prepares a finished Exchange for another attempt. No other goroutine may
// still refer to it.
func (x *Exchange) Reset() {
	x.pool, x.activeConn, x.reader, x.cancelableConn, x.canceled = nil, nil, nil, nil, false
}

// Cancel makes the attempt fail and its connection close.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = true
	if x.cancelableConn != nil {
		x.cancelableConn.abort()
	}
}

// bind makes conn the connection that Cancel aborts and sets its deadline. It
// returns false if the attempt is already canceled or the deadline cannot be set.
func (x *Exchange) bind(conn *countingConn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.cancelableConn = conn
	return conn.SetDeadline(deadline) == nil
}

// unbind detaches the connection from Cancel. It returns false if the attempt was
// canceled, after which the connection must not be used again.
func (x *Exchange) unbind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelableConn = nil
	return !x.canceled
}

// errUploadIncomplete is the error of an upload that its caller did not finish.
var errUploadIncomplete = errors.New("the caller did not finish its upload")

// Do carries out the attempt. If the returned response has a Stream, the
// exchange goes on until the stream is closed. The response is stored in scratch
// unless that is nil.
func (x *Exchange) Do(p *Pool, header *fasthttp.RequestHeader, body Body, deadline time.Time, scratch *Response) ExchangeResult {
	conn, err := p.acquire(deadline)
	if err != nil {
		return ExchangeResult{Result: traffic.NotSent, Err: err}
	}
	if !x.bind(conn, deadline) {
		conn.release(false)
		return ExchangeResult{Result: traffic.NotSent, Err: errAbandoned}
	}
	x.pool, x.activeConn, x.reader = p, conn, p.host.AcquireReader(conn)
	response, rest, err := x.roundTrip(header, body, scratch)
	if err != nil {
		x.finish(nil, err)
		return ExchangeResult{Result: x.classifyFailure(conn, err), Err: err}
	}
	if rest == nil {
		x.finish(response, nil)
		return ExchangeResult{Result: traffic.Completed, Response: response}
	}
	response.Stream = &Stream{body: rest, exchange: x, response: response}
	return ExchangeResult{Result: traffic.Completed, Response: response}
}

// finish returns the connection to the pool, or closes it if it cannot be reused.
func (x *Exchange) finish(response *Response, err error) {
	reuse := x.unbind() && err == nil && connReusable(response, x.reader)
	x.pool.host.ReleaseReader(x.reader)
	x.activeConn.release(reuse)
}

// connReusable reports whether the connection stays open and no bytes follow the
// response.
func connReusable(response *Response, reader *bufio.Reader) bool {
	return reader.Buffered() == 0 && !response.Header.ConnectionClose()
}

func (x *Exchange) roundTrip(header *fasthttp.RequestHeader, body Body, scratch *Response) (*Response, io.Reader, error) {
	writer := x.pool.host.AcquireWriter(x.activeConn)
	err := writeRequest(writer, header, body)
	x.pool.host.ReleaseWriter(writer)
	if errors.Is(err, errUploadIncomplete) {
		return nil, nil, err
	}
	if err != nil && x.activeConn.written == 0 {
		return nil, nil, err
	}
	// An upstream may respond before it has read the whole upload, and close.
	response, rest, readErr := readResponse(x.reader, header.IsHead(), scratch)
	if readErr != nil {
		if err != nil {
			readErr = err
		}
		return nil, nil, readErr
	}
	if err != nil {
		response.Header.SetConnectionClose()
	}
	return response, rest, nil
}

// classifyFailure returns the result of an attempt without a complete response.
// NotSent means that no byte was written, so that the request cannot have run.
func (x *Exchange) classifyFailure(conn *countingConn, err error) traffic.Result {
	x.mu.Lock()
	canceled := x.canceled
	x.mu.Unlock()
	switch {
	case conn.written == 0:
		return traffic.NotSent
	case errors.Is(err, errUploadIncomplete), canceled:
		return traffic.Canceled
	case isTimeout(err):
		return traffic.TimedOut
	case !httpread.BrokeOff(err):
		return traffic.Malformed
	default:
		return traffic.Broken
	}
}

// isTimeout reports whether err is a timeout of a connection or of fasthttp.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// classifyStreamEnd returns the result of a streamed response that ended with
// err.
func (x *Exchange) classifyStreamEnd(err error) traffic.Result {
	switch {
	case err == nil:
		return traffic.Completed
	case errors.Is(err, errAbandoned):
		return traffic.Canceled
	default:
		return x.classifyFailure(x.activeConn, err)
	}
}

// writeRequest writes the header and the body.
func writeRequest(w *bufio.Writer, header *fasthttp.RequestHeader, body Body) error {
	if _, err := w.Write(header.Header()); err != nil {
		return err
	}
	if body.Length < 0 {
		return writeChunked(w, body)
	}
	if _, err := w.Write(body.Buffered); err != nil {
		return err
	}
	if body.Rest != nil {
		if err := copyUpload(w, body.Rest, body.Length-len(body.Buffered)); err != nil {
			return err
		}
	}
	return w.Flush()
}

func writeChunked(w *bufio.Writer, body Body) error {
	chunks := httputil.NewChunkedWriter(w)
	if len(body.Buffered) > 0 {
		if _, err := chunks.Write(body.Buffered); err != nil {
			return err
		}
	}
	if body.Rest != nil {
		if err := copyUpload(chunks, body.Rest, -1); err != nil {
			return err
		}
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// uploadBufferBytes is the size of the buffers through which uploads are copied.
const uploadBufferBytes = 32 << 10

var uploadBuffers = sync.Pool{New: func() any { return new([uploadBufferBytes]byte) }}

// copyUpload passes on an upload as it arrives. It returns errUploadIncomplete if
// reading from the caller fails, and the error itself if writing to the upstream
// fails. A negative size means up to the end of the stream.
func copyUpload(w io.Writer, rest io.Reader, size int) error {
	buffer := uploadBuffers.Get().(*[uploadBufferBytes]byte)
	defer uploadBuffers.Put(buffer)
	copied := 0
	for size < 0 || copied < size {
		n, readErr := rest.Read(buffer[:])
		copied += n
		if n > 0 {
			if err := writeAndFlush(w, buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF && (size < 0 || copied == size) {
			return nil
		}
		if readErr != nil {
			return errUploadIncomplete
		}
	}
	return nil
}

// writeAndFlush flushes each piece written to a bufio.Writer, so that the
// upstream sees the progress of a slow upload and can refuse it early.
func writeAndFlush(w io.Writer, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if buffered, ok := w.(*bufio.Writer); ok {
		return buffered.Flush()
	}
	return nil
}
