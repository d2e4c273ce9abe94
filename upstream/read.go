package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/httpread"
)

var (
	errAbandoned = errors.New("the exchange was abandoned before the end of the response")
	errUnframed  = errors.New("the response has neither Content-Length nor chunks, so its end cannot be checked")
)

// readResponse reads the header and, if the body is small enough, the body. It
// returns a larger body as a reader. isHead is set if the request was a HEAD
// request, whose response has no body. The result is stored in response unless
// that is nil.
func readResponse(br *bufio.Reader, isHead bool, response *Response) (*Response, io.Reader, error) {
	if response == nil {
		response = &Response{}
	}
	if err := httpread.ReadFinalHead(br, &response.Header); err != nil {
		return nil, nil, err
	}
	body, unframed, err := httpread.Body(br, &response.Header, isHead)
	switch {
	case err != nil:
		return nil, nil, err
	case unframed:
		return nil, nil, errUnframed
	}
	length := response.Header.ContentLength()
	switch {
	case isHead || hasNoBody(response.Header.StatusCode()):
		response.Length = max(length, 0)
		_, err := body.Read(nil)
		return response, nil, ignoreEOF(err)
	case length > MaxBufferedBytes:
		response.Length = length
		return response, body, nil
	default:
		return buffer(response, body)
	}
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// hasNoBody reports whether responses with this status have no body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

const (
	// smallBody is the part of a body that is buffered without a reservation.
	smallBody = 64 << 10
	// maxLargeBodies bounds the bodies between smallBody and MaxBufferedBytes that
	// are read at the same time. More of them are streamed.
	maxLargeBodies = 16
)

// largeBodies has an entry for each reservation.
var largeBodies = make(chan struct{}, maxLargeBodies)

// buffer reads the body, or the first part of a large one.
func buffer(response *Response, body io.Reader) (*Response, io.Reader, error) {
	first := &firstPart{rest: body, bytes: response.Body[:0]}
	ended, err := first.read(smallBody)
	if err == nil && !ended && first.reserve() {
		ended, err = first.read(MaxBufferedBytes)
	}
	switch {
	case err != nil:
		first.release()
		return nil, nil, err
	case ended:
		first.release()
		response.Body, response.Length = first.bytes, len(first.bytes)
		return response, nil, nil
	default:
		response.Length = response.Header.ContentLength()
		return response, first, nil
	}
}

// firstPart is the buffered part of a body that is streamed, and the rest of it.
type firstPart struct {
	bytes    []byte
	rest     io.Reader
	reserved bool
}

// reserve takes one of the reservations for large bodies, if one is left.
func (f *firstPart) reserve() bool {
	select {
	case largeBodies <- struct{}{}:
		f.reserved = true
	default:
	}
	return f.reserved
}

func (f *firstPart) release() {
	if f.reserved {
		<-largeBodies
		f.reserved = false
	}
}

// read buffers the body up to a limit and reports whether it ended there.
func (f *firstPart) read(limit int) (ended bool, err error) {
	for len(f.bytes) < limit {
		if len(f.bytes) == cap(f.bytes) {
			f.bytes = slices.Grow(f.bytes, min(max(len(f.bytes), bytes.MinRead), limit-len(f.bytes)))
		}
		n, err := f.rest.Read(f.bytes[len(f.bytes):min(cap(f.bytes), limit)])
		f.bytes = f.bytes[:len(f.bytes)+n]
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// Read returns the buffered part first.
func (f *firstPart) Read(p []byte) (int, error) {
	if len(f.bytes) == 0 {
		return f.rest.Read(p)
	}
	n := copy(p, f.bytes)
	if f.bytes = f.bytes[n:]; len(f.bytes) == 0 {
		f.bytes = nil
		f.release()
	}
	return n, nil
}

// Close drops the buffered part.
func (f *firstPart) Close() error {
	f.bytes = nil
	f.release()
	return nil
}
