package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"slices"

	"github.com/valyala/fasthttp"
)

var (
	errAbandoned = errors.New("the reader left before the end of the answer")
	errUnframed  = errors.New("the answer has neither Content-Length nor chunks, so its end cannot be checked")
	errTrailer   = errors.New("malformed end of a chunked answer")
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
	body := &chunkedBody{chunks: httputil.NewChunkedReader(br), br: br}
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

// chunkedBody reads a chunked body and its trailer, so that the connection is
// left at the start of the next answer.
type chunkedBody struct {
	chunks io.Reader
	br     *bufio.Reader
	ended  bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	b.ended = true
	if err := skipTrailer(b.br); err != nil {
		return n, err
	}
	return n, io.EOF
}

// skipTrailer reads up to the empty line that ends a chunked body.
func skipTrailer(br *bufio.Reader) error {
	const maxLines = 32
	for range maxLines {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return errTrailer
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errTrailer
}
