// Package chunked reads HTTP bodies in chunked transfer coding from a
// connection that is used again afterwards.
package chunked

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
)

// ErrTrailer reports that the trailer of a body is truncated or too long.
var ErrTrailer = errors.New("truncated or oversized trailer of a chunked body")

// maxTrailerLines bounds the lines after the last chunk.
const maxTrailerLines = 32

// Reader decodes a body and reads its trailer, so that the connection is left
// at the start of the next message. It returns io.EOF only after the whole
// body.
type Reader struct {
	chunks io.Reader
	src    *bufio.Reader
	ended  bool
}

// NewReader returns a Reader of the body that begins at the next byte of src.
func NewReader(src *bufio.Reader) *Reader {
	return &Reader{chunks: httputil.NewChunkedReader(src), src: src}
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
	for range maxTrailerLines {
		line, err := r.src.ReadSlice('\n')
		if err != nil {
			return ErrTrailer
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return ErrTrailer
}
