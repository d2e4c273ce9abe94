package upstream

import (
	"io"

	"github.com/valyala/fasthttp"
)

// MaxHeldBytes is the largest answer that is read in full and checked before
// the caller gets its first byte.
const MaxHeldBytes = 1 << 20

// Answer is an answer of an upstream or of a peer. A held answer is immutable
// and may be replayed to several callers.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body is the whole body of a held answer.
	Body []byte
	// Stream is set for an answer that is too large to hold. The owner must
	// close it.
	Stream *Stream
	// Length is the declared length of the body, or -1 for a chunked stream.
	Length int
}

// Size implements traffic.Answer.
func (a *Answer) Size() int {
	if a.Stream != nil && a.Length < 0 {
		return MaxHeldBytes
	}
	return a.Length
}

// Stream is the body of a large answer.
type Stream struct {
	body io.Reader
	// release ends the use of the connection; nil means the whole body was read.
	release func(error)
	// ended reports the end to the owner of the exchange.
	ended func(error)
	done  bool
	whole bool
	err   error
}

// Read returns io.EOF only after the whole declared body.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF:
		s.whole = true
	case err != nil:
		s.err = err
	}
	return n, err
}

// Close ends the exchange; a connection with an unread rest is closed.
func (s *Stream) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	if !s.whole && s.err == nil {
		s.err = errAbandoned
	}
	s.release(s.err)
	s.ended(s.err)
	return nil
}

// Cut closes the connection of a stream that will not be read, without a call
// of onEnd.
func (s *Stream) Cut() {
	s.done = true
	s.release(errAbandoned)
}

// exactReader reads exactly left bytes and reports an early end as an error.
type exactReader struct {
	reader io.Reader
	left   int
}

func (r *exactReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.reader.Read(p)
	r.left -= n
	if err == io.EOF && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && r.left == 0 {
		err = io.EOF
	}
	return n, err
}
