package httpread

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
)

// ErrTrailer reports that the trailer of a chunked body is truncated, malformed
// or too long, or has a field that the header does not announce.
var ErrTrailer = errors.New("malformed trailer of a chunked body")

const (
	// maxTrailerLines bounds the lines after the last chunk, maxTrailerBytes
	// their length in bytes.
	maxTrailerLines = 32
	maxTrailerBytes = 8 << 10
)

// ChunkedReader decodes a body in chunked transfer coding and reads its trailer,
// so that the connection is left at the start of the next message. It returns
// io.EOF only after the whole body.
type ChunkedReader struct {
	chunks io.Reader
	src    *bufio.Reader
	// announced are the names of the fields that the trailer may have if
	// onlyAnnounced is set.
	announced     [][]byte
	onlyAnnounced bool
	// err is the result of reading beyond the last chunk.
	err error
}

// NewChunkedReader returns a reader of the body that begins at the next byte of
// src. Its trailer may have any fields.
func NewChunkedReader(src *bufio.Reader) *ChunkedReader {
	return &ChunkedReader{chunks: httputil.NewChunkedReader(src), src: src}
}

// NewResponseReader returns a reader of the body of a response, whose trailer may
// have only the fields that its header announces. With any field, the data after
// a chunk size that was damaged to 0 could pass for the trailer.
func NewResponseReader(src *bufio.Reader, announced [][]byte) *ChunkedReader {
	r := NewChunkedReader(src)
	r.announced, r.onlyAnnounced = announced, true
	return r
}

func (r *ChunkedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	r.err = io.EOF
	if err := r.skipTrailer(); err != nil {
		r.err = err
	}
	return n, r.err
}

// skipTrailer reads up to the empty line that ends a chunked body.
func (r *ChunkedReader) skipTrailer() error {
	length := 0
	for range maxTrailerLines {
		line, err := r.src.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTrailer, err)
		}
		if length += len(line); length > maxTrailerBytes {
			return fmt.Errorf("%w: more than %d bytes", ErrTrailer, maxTrailerBytes)
		}
		if string(line) == "\r\n" {
			return nil
		}
		if !r.acceptsTrailerLine(line) {
			return fmt.Errorf("%w: line %.40q", ErrTrailer, line)
		}
	}
	return fmt.Errorf("%w: more than %d lines", ErrTrailer, maxTrailerLines)
}

func (r *ChunkedReader) acceptsTrailerLine(line []byte) bool {
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	name, value, found := bytes.Cut(text, []byte(":"))
	if !ended || !found || len(name) == 0 {
		return false
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return false
		}
	}
	for _, c := range value {
		if !isFieldByte(c) {
			return false
		}
	}
	if !r.onlyAnnounced {
		return true
	}
	for _, announced := range r.announced {
		if bytes.EqualFold(announced, name) {
			return true
		}
	}
	return false
}
