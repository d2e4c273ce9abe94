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
	errAbandoned = errors.New("the reader left before the end of the answer")
	errUnframed  = errors.New("the answer has neither Content-Length nor chunks, so its end cannot be checked")
)

// maxInterim bounds the 1xx answers before the final one.
const maxInterim = 5

// readAnswer reads the header and, if the body is small enough, the body. For
// a larger body it returns the rest as a reader.
func readAnswer(br *bufio.Reader, head bool, answer *Answer) (*Answer, io.Reader, error) {
	if answer == nil {
		answer = &Answer{}
	}
	if err := readFinalHeader(br, &answer.Header); err != nil {
		return nil, nil, err
	}
	length := answer.Header.ContentLength()
	switch {
	case head || bodyless(answer.Header.StatusCode()):
		answer.Length = max(length, 0)
		return answer, nil, nil
	case length >= 0:
		return readCounted(br, answer, length)
	case length == -1:
		return readChunked(br, answer)
	default:
		return nil, nil, errUnframed
	}
}

func readFinalHeader(br *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := header.Read(br); err != nil {
			return err
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		header.Reset()
	}
	return errors.New("too many interim answers")
}

// bodyless tells whether answers with this status have no body.
func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func readCounted(br *bufio.Reader, answer *Answer, length int) (*Answer, io.Reader, error) {
	answer.Length = length
	if length > MaxHeldBytes {
		return answer, &exactReader{reader: br, left: length}, nil
	}
	answer.Body = slices.Grow(answer.Body[:0], length)[:length]
	if _, err := io.ReadFull(br, answer.Body); err != nil {
		return nil, nil, err
	}
	return answer, nil, nil
}

func readChunked(br *bufio.Reader, answer *Answer) (*Answer, io.Reader, error) {
	body := chunked.NewReader(br)
	held, err := io.ReadAll(io.LimitReader(body, MaxHeldBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if len(held) <= MaxHeldBytes {
		answer.Body = held
		answer.Length = len(held)
		return answer, nil, nil
	}
	answer.Length = -1
	return answer, io.MultiReader(bytes.NewReader(held), body), nil
}
