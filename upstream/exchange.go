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
)

// Body is the body of a request: held bytes, or held bytes followed by a
// stream of the caller.
type Body struct {
	Held []byte
	// Rest is nil if Held is the whole body.
	Rest io.Reader
	// Length of the whole body, -1 for a chunked one.
	Length int
}

// Ending is the end of an exchange, or the start of a streamed answer.
type Ending struct {
	Result traffic.Result
	Answer *Answer
	// Err tells why the exchange did not complete.
	Err error
}

// Exchange is one attempt. Do is called once; Cancel by any goroutine.
type Exchange struct {
	// The goroutine of the exchange owns these.
	pool   *Pool
	use    *countedConn
	reader *bufio.Reader

	mu       sync.Mutex
	conn     *countedConn
	canceled bool
}

// Reset prepares a finished Exchange for another attempt. No goroutine may
// still hold it.
func (x *Exchange) Reset() {
	x.pool, x.use, x.reader, x.conn, x.canceled = nil, nil, nil, nil, false
}

// Cancel makes the attempt fail and its connection close.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = true
	if x.conn != nil {
		x.conn.abort()
	}
}

// bind makes conn the connection that Cancel aborts. It returns false if the
// attempt is already canceled.
func (x *Exchange) bind(conn *countedConn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.conn = conn
	return conn.SetDeadline(deadline) == nil
}

// unbind returns false if the attempt was canceled, after which the connection
// must not be used again.
func (x *Exchange) unbind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.canceled
}

// errCaller marks an upload that its caller did not finish.
var errCaller = errors.New("the caller did not finish its upload")

// Do carries out the attempt. If the returned answer has a Stream, the
// exchange goes on until the stream is closed. It may use spare for the answer.
func (x *Exchange) Do(p *Pool, header *fasthttp.RequestHeader, body Body, deadline time.Time, spare *Answer) Ending {
	conn, err := p.acquire(deadline)
	if err != nil {
		return Ending{Result: traffic.NotSent, Err: err}
	}
	if !x.bind(conn, deadline) {
		conn.end(false)
		return Ending{Result: traffic.NotSent, Err: errAbandoned}
	}
	x.pool, x.use, x.reader = p, conn, p.host.AcquireReader(conn)
	answer, rest, err := x.roundTrip(header, body, spare)
	if err != nil {
		x.finish(nil, err)
		return Ending{Result: x.failure(conn, err), Err: err}
	}
	if rest == nil {
		x.finish(answer, nil)
		return Ending{Result: traffic.Completed, Answer: answer}
	}
	answer.Stream = &Stream{body: rest, exchange: x, answer: answer}
	return Ending{Result: traffic.Completed, Answer: answer}
}

// finish ends the use of the connection.
func (x *Exchange) finish(answer *Answer, err error) {
	reuse := x.unbind() && err == nil && reusable(answer, x.reader)
	x.pool.host.ReleaseReader(x.reader)
	x.use.end(reuse)
}

// reusable tells whether the connection stands at the start of the next answer.
func reusable(answer *Answer, reader *bufio.Reader) bool {
	return reader.Buffered() == 0 && !answer.Header.ConnectionClose()
}

func (x *Exchange) roundTrip(header *fasthttp.RequestHeader, body Body, spare *Answer) (*Answer, io.Reader, error) {
	writer := x.pool.host.AcquireWriter(x.use)
	err := writeRequest(writer, header, body)
	x.pool.host.ReleaseWriter(writer)
	if errors.Is(err, errCaller) {
		return nil, nil, err
	}
	if err != nil && x.use.written == 0 {
		return nil, nil, err
	}
	// An upstream may answer before it has read the whole upload, and close.
	answer, rest, readErr := readAnswer(x.reader, header.IsHead(), spare)
	if readErr != nil {
		if err != nil {
			readErr = err
		}
		return nil, nil, readErr
	}
	if err != nil {
		answer.Header.SetConnectionClose()
	}
	return answer, rest, nil
}

// failure classifies an attempt that brought no whole answer.
func (x *Exchange) failure(conn *countedConn, err error) traffic.Result {
	x.mu.Lock()
	canceled := x.canceled
	x.mu.Unlock()
	switch {
	case conn.written == 0:
		return traffic.NotSent
	case errors.Is(err, errCaller), canceled:
		return traffic.CanceledByCaller
	case isTimeout(err):
		return traffic.TimedOut
	default:
		return traffic.Broken
	}
}

// isTimeout covers the errors of connections and of fasthttp.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// streamResult classifies the end of a streamed answer.
func (x *Exchange) streamResult(err error) traffic.Result {
	switch {
	case err == nil:
		return traffic.Completed
	case errors.Is(err, errAbandoned):
		return traffic.CanceledByCaller
	default:
		return x.failure(x.use, err)
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
	if _, err := w.Write(body.Held); err != nil {
		return err
	}
	if body.Rest != nil {
		if err := copyUpload(w, body.Rest, body.Length-len(body.Held)); err != nil {
			return err
		}
	}
	return w.Flush()
}

func writeChunked(w *bufio.Writer, body Body) error {
	chunks := httputil.NewChunkedWriter(w)
	if len(body.Held) > 0 {
		if _, err := chunks.Write(body.Held); err != nil {
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

// uploadBufferBytes is the size of the pieces in which an upload is passed on.
const uploadBufferBytes = 32 << 10

var uploadBuffers = sync.Pool{New: func() any { return new([uploadBufferBytes]byte) }}

// copyUpload passes an upload on as it arrives. It tells errors of the caller
// from those of the upstream. A negative size means up to the end of the stream.
func copyUpload(w io.Writer, rest io.Reader, size int) error {
	buffer := uploadBuffers.Get().(*[uploadBufferBytes]byte)
	defer uploadBuffers.Put(buffer)
	copied := 0
	for size < 0 || copied < size {
		n, readErr := rest.Read(buffer[:])
		copied += n
		if n > 0 {
			if err := writePiece(w, buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF && (size < 0 || copied == size) {
			return nil
		}
		if readErr != nil {
			return errCaller
		}
	}
	return nil
}

// writePiece flushes each piece, so that the upstream sees a slow upload
// progress and can refuse it early.
func writePiece(w io.Writer, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if buffered, ok := w.(*bufio.Writer); ok {
		return buffered.Flush()
	}
	return nil
}
