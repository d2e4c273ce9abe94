package httpread

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// ErrEndInDoubt reports that the end of a body cannot be known, or that bytes
// follow it which belong to no response: its length may be damaged.
var ErrEndInDoubt = errors.New("the end of the response is in doubt")

// Body returns a reader of the body that follows a head. It returns io.EOF only
// at the end of a complete body. unframed reports that only the end of the
// connection marks that of the body. noBody is set for the response to a HEAD
// request.
func Body(br *bufio.Reader, header *fasthttp.ResponseHeader, noBody bool) (body io.Reader, unframed bool, err error) {
	status, length := header.StatusCode(), header.ContentLength()
	switch {
	case noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return &endChecker{br, bytes.NewReader(nil)}, false, nil
	case length >= 0:
		return &endChecker{br, &fixedReader{br, length}}, false, nil
	case length == -1:
		return &endChecker{br, NewResponseReader(br, header.PeekTrailerKeys())}, false, nil
	case keepsConnection(header):
		// The field with the length or the coding may be damaged.
		return nil, true, fmt.Errorf("%w: no length, no chunks, and the connection stays open", ErrEndInDoubt)
	default:
		return &unframedReader{src: br}, true, nil
	}
}

// keepsConnection reports whether a response says that its connection stays open.
func keepsConnection(header *fasthttp.ResponseHeader) bool {
	return len(header.Peek("Keep-Alive")) > 0
}

// fixedReader reads a body of known length. A source that ends early is an
// error.
type fixedReader struct {
	br        *bufio.Reader
	remaining int
}

func (f *fixedReader) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	// Shorter reads than the buffer go through it, so that bytes which arrive
	// with the end of the body are in it and are checked.
	n, err := f.br.Read(p[:min(len(p), f.remaining, f.br.Size()-1)])
	f.remaining -= n
	switch {
	case f.remaining == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// endChecker checks the bytes that have arrived behind the end of a body before
// it reports the end.
type endChecker struct {
	br   *bufio.Reader
	body io.Reader
}

func (c *endChecker) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err == io.EOF {
		if err := checkFollowing(c.br); err != nil {
			// The last bytes are held back, so that what was passed on cannot
			// look complete.
			return 0, err
		}
	}
	return n, err
}

// checkFollowing returns an error if bytes follow a response that do not begin
// another one. A second response belongs to no request and leaves the first one
// sound.
func checkFollowing(br *bufio.Reader) error {
	const start = "HTTP/1."
	following, _ := br.Peek(min(br.Buffered(), len(start)))
	if string(following) != start[:len(following)] {
		return fmt.Errorf("%w: it is followed by %q", ErrEndInDoubt, following)
	}
	return nil
}

// unframedReader reads a body up to the end of the connection. A whole body in
// chunked coding is an error: the field that names the coding may be damaged.
type unframedReader struct {
	src    io.Reader
	chunks chunkScanner
}

func (u *unframedReader) Read(p []byte) (int, error) {
	n, err := u.src.Read(p)
	u.chunks.scan(p[:n])
	if err == io.EOF && u.chunks.ended {
		return 0, fmt.Errorf("%w: a body in chunked coding without the field that says so", ErrEndInDoubt)
	}
	return n, err
}

// maxSizeLine bounds the line with the size of a chunk.
const maxSizeLine = 64

// chunkScanner finds out whether bytes are a body in chunked coding.
type chunkScanner struct {
	// line is the part of the size line that was seen, after the line end of the
	// chunk before.
	line []byte
	// data is the number of bytes that are left of the chunk.
	data uint64
	// ended is set after the last chunk, failed once the bytes are no chunks.
	ended, failed bool
}

func (c *chunkScanner) scan(p []byte) {
	for len(p) > 0 && !c.ended && !c.failed {
		if skipped := min(uint64(len(p)), c.data); skipped > 0 {
			c.data -= skipped
			p = p[skipped:]
			continue
		}
		c.line = append(c.line, p[0])
		p = p[1:]
		c.acceptLine()
	}
}

// acceptLine evaluates the size line once it is complete.
func (c *chunkScanner) acceptLine() {
	line, complete := bytes.CutSuffix(c.line, []byte("\r\n"))
	if !complete || len(line) == 0 {
		c.failed = len(c.line) > maxSizeLine
		return
	}
	digits, _, _ := bytes.Cut(bytes.TrimPrefix(line, []byte("\r\n")), []byte(";"))
	size, err := strconv.ParseUint(string(digits), 16, 63)
	c.failed, c.ended = err != nil, err == nil && size == 0
	c.line, c.data = c.line[:0], size
}
