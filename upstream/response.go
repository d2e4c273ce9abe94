package upstream

import (
	"io"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
)

// MaxBufferedBytes is the largest response body that is read in full and checked
// before the caller gets its first byte.
const MaxBufferedBytes = 1 << 20

// Response is the response of an upstream or of a peer. A buffered response is
// immutable and may be replayed to several callers.
type Response struct {
	Header fasthttp.ResponseHeader
	// Body is the whole body of a buffered response.
	Body []byte
	// Stream is set for a response that is too large to buffer. The owner must
	// close it.
	Stream *Stream
	// Length is the declared length of the body, or -1 for a chunked stream.
	Length int
}

// Reset prepares a response for reuse. Nothing else may still refer to it.
func (r *Response) Reset() {
	r.Header.Reset()
	r.Body, r.Stream, r.Length = r.Body[:0], nil, 0
}

// Size implements traffic.Response.
func (r *Response) Size() int {
	if r.Stream != nil && r.Length < 0 {
		return MaxBufferedBytes
	}
	return r.Length
}

// Stream is the body of a large response.
type Stream struct {
	// OnClose is called once, when the stream is closed. It may be set until the
	// first Read.
	OnClose func(traffic.Result)

	body     io.Reader
	exchange *Exchange
	response *Response
	closed   bool
	complete bool
	err      error
}

// Read returns io.EOF only after the complete body.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF:
		s.complete = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// Close ends the exchange. It closes the connection if a part of the body has
// not been read.
func (s *Stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if !s.complete && s.err == nil {
		s.err = errAbandoned
	}
	if closer, ok := s.body.(io.Closer); ok {
		_ = closer.Close()
	}
	s.exchange.finish(s.response, s.err)
	if s.OnClose != nil {
		s.OnClose(s.exchange.classifyStreamEnd(s.err))
	}
	return nil
}
