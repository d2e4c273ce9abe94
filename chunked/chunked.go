// Package chunked reads HTTP bodies in chunks from a connection that is used
// again afterwards.
package chunked

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
)

// ErrTrailer reports a malformed end of a body.
var ErrTrailer = errors.New("malformed end of a chunked body")

// trailerLines bounds the lines after the last chunk.
const trailerLines = 32

// Reader reads a body with its trailer, so that the connection is left at the
// start of the next message. It returns io.EOF only after the whole body.
type Reader struct {
	chunks io.Reader
	from   *bufio.Reader
	ended  bool
}

// NewReader returns a Reader of the body that begins at from.
func NewReader(from *bufio.Reader) *Reader {
	return &Reader{chunks: httputil.NewChunkedReader(from), from: from}
}

func (r *Reader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	r.ended = true
	if err := r.skipTrailer(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// skipTrailer reads up to the empty line that ends a chunked body.
func (r *Reader) skipTrailer() error {
	for range trailerLines {
		line, err := r.from.ReadSlice('\n')
		if err != nil {
			return ErrTrailer
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return ErrTrailer
}
