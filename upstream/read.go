package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/chunked"
)

var (
	errAbandoned = errors.New("the exchange was abandoned before the end of the response")
	errUnframed  = errors.New("the response has neither Content-Length nor chunks, so its end cannot be checked")
)

// maxInterimResponses bounds the headers that are read for one response: fewer
// 1xx responses than this may precede the final one.
const maxInterimResponses = 5

// readResponse reads the header and, if the body is small enough, the body. It
// returns a larger body as a reader. head is set if the request was a HEAD
// request, whose response has no body. The result is stored in response unless
// that is nil.
func readResponse(br *bufio.Reader, head bool, response *Response) (*Response, io.Reader, error) {
	if response == nil {
		response = &Response{}
	}
	if err := readFinalHeader(br, &response.Header); err != nil {
		return nil, nil, err
	}
	length := response.Header.ContentLength()
	switch {
	case head || hasNoBody(response.Header.StatusCode()):
		response.Length = max(length, 0)
		return response, nil, nil
	case length >= 0:
		return readFixedLength(br, response, length)
	case length == -1:
		return readChunked(br, response)
	default:
		return nil, nil, errUnframed
	}
}

func readFinalHeader(br *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if err := header.Read(br); err != nil {
			return err
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		header.Reset()
	}
	return errors.New("too many interim (1xx) responses")
}

// hasNoBody reports whether responses with this status have no body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func readFixedLength(br *bufio.Reader, response *Response, length int) (*Response, io.Reader, error) {
	response.Length = length
	if length > MaxBufferedBytes {
		return response, &exactReader{reader: br, remaining: length}, nil
	}
	response.Body = slices.Grow(response.Body[:0], length)[:length]
	if _, err := io.ReadFull(br, response.Body); err != nil {
		return nil, nil, err
	}
	return response, nil, nil
}

func readChunked(br *bufio.Reader, response *Response) (*Response, io.Reader, error) {
	body := chunked.NewReader(br)
	buffered, err := io.ReadAll(io.LimitReader(body, MaxBufferedBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if len(buffered) <= MaxBufferedBytes {
		response.Body = buffered
		response.Length = len(buffered)
		return response, nil, nil
	}
	response.Length = -1
	return response, io.MultiReader(bytes.NewReader(buffered), body), nil
}
