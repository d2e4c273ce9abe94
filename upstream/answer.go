package upstream

import (
	"io"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
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

// Reset prepares an answer that nobody refers to for another use.
func (a *Answer) Reset() {
	a.Header.Reset()
	a.Body, a.Stream, a.Length = a.Body[:0], nil, 0
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
	// OnEnd is called once, when the stream is closed. It may be set until the
	// first Read.
	OnEnd func(traffic.Result)

	body     io.Reader
	exchange *Exchange
	answer   *Answer
	done     bool
	whole    bool
	err      error
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
	s.exchange.finish(s.answer, s.err)
	if s.OnEnd != nil {
		s.OnEnd(s.exchange.streamResult(s.err))
	}
	return nil
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
