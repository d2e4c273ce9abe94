package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

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

// maxFirstBuffer bounds what is allocated for a body before it arrives.
const maxFirstBuffer = 16 << 10

// buffer reads the body, or the first part of a large one.
func buffer(response *Response, body io.Reader) (*Response, io.Reader, error) {
	buffered := bytes.NewBuffer(response.Body[:0])
	if length := response.Header.ContentLength(); length > 0 {
		buffered.Grow(min(length, maxFirstBuffer) + bytes.MinRead)
	}
	if _, err := buffered.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1)); err != nil {
		return nil, nil, err
	}
	if buffered.Len() <= MaxBufferedBytes {
		response.Body, response.Length = buffered.Bytes(), buffered.Len()
		return response, nil, nil
	}
	response.Length = -1
	return response, io.MultiReader(bytes.NewReader(buffered.Bytes()), body), nil
}
