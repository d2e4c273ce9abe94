package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/chunked"
	"pistachioford.example/pistachioford/platform"
)

const (
	// heldBytes is the largest body that is held in memory. A held body may be
	// sent to a second target.
	heldBytes = 1 << 20
	// answerBytes is the largest body of an answer.
	answerBytes = 16 << 20
	// interimAnswers bounds the 1xx answers before the final one.
	interimAnswers = 5
)

var (
	errTooLarge  = errors.New("the body is larger than the limit")
	errTwoFrames = errors.New("the request has both Content-Length and Transfer-Encoding")
	errCallerCut = errors.New("the caller closed before the end of its body")
	errAnswer    = errors.New("malformed answer")
	errEncoded   = errors.New("the answer has a content encoding that nobody asked for")
	errStray     = errors.New("answers to other requests")
)

// body is the body of a request: held, or held and followed by a stream.
type body struct {
	held []byte
	// rest is nil if held is the whole body.
	rest io.Reader
	// length of the whole body, or -1 for a chunked one.
	length int
}

func (b *body) size() int { return max(b.length, len(b.held)) }

// readBody holds a small body in full, and the first part of a larger one.
func readBody(br *bufio.Reader, header *fasthttp.RequestHeader, limit int) (body, error) {
	declared := header.ContentLength()
	switch {
	case declared == 0 || declared == -2:
		return body{}, nil
	case declared > limit:
		return body{}, errTooLarge
	case declared == -1 && hasLength(header):
		return body{}, errTwoFrames
	case declared == -1:
		return readChunkedBody(br, limit)
	}
	held := make([]byte, min(declared, heldBytes))
	if _, err := io.ReadFull(br, held); err != nil {
		return body{}, errCallerCut
	}
	b := body{held: held, length: declared}
	if declared > heldBytes {
		b.rest = io.LimitReader(br, int64(declared-heldBytes))
	}
	return b, nil
}

// hasLength tells whether a chunked request also states a length. Servers that
// heed one or the other see different requests.
func hasLength(header *fasthttp.RequestHeader) bool {
	return bytes.Contains(bytes.ToLower(header.RawHeaders()), []byte("content-length:"))
}

func readChunkedBody(br *bufio.Reader, limit int) (body, error) {
	chunks := chunked.NewReader(br)
	held, err := io.ReadAll(io.LimitReader(chunks, heldBytes+1))
	if err != nil {
		return body{}, errCallerCut
	}
	if len(held) > limit {
		return body{}, errTooLarge
	}
	if len(held) <= heldBytes {
		return body{held: held, length: len(held)}, nil
	}
	return body{held: held, rest: &limitedReader{reader: chunks, left: limit - len(held)}, length: -1}, nil
}

// limitedReader fails a chunked upload that grows beyond the limit.
type limitedReader struct {
	reader io.Reader
	left   int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.left -= n
	if l.left < 0 {
		return n, errTooLarge
	}
	return n, err
}

// connectionFields belong to one connection and are not passed on.
var connectionFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Transfer-Encoding": true, "Content-Length": true,
}

// ownRequestFields are set by this system and not taken from callers.
var ownRequestFields = map[string]bool{
	platform.HeaderExpectTarget: true, platform.HeaderTimeLeft: true,
}

// namedByConnection returns the further fields that a Connection field names.
func namedByConnection(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, name := range bytes.Split(value, []byte(",")) {
		name = bytes.TrimSpace(name)
		if !bytes.EqualFold(name, []byte("close")) && !bytes.EqualFold(name, []byte("keep-alive")) {
			named[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, name))] = true
		}
	}
	return named
}

func appendField(dst []byte, name, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// appendCommonFields encodes the fields that all attempts of a request share.
func appendCommonFields(dst []byte, header *fasthttp.RequestHeader, length int) []byte {
	named := namedByConnection(header.Peek("Connection"))
	dst = append(dst, header.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, header.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	for name, value := range header.All() {
		if connectionFields[string(name)] || ownRequestFields[string(name)] || named[string(name)] {
			continue
		}
		dst = appendField(dst, name, value)
	}
	switch {
	case length < 0:
		dst = append(dst, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || !header.IsGet() && !header.IsHead():
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(length), 10)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// answer is a whole answer of a target.
type answer struct {
	header fasthttp.ResponseHeader
	body   []byte
	// unframed is set if the end of the connection ended the body.
	unframed bool
}

// readAnswer reads the answer to the request with an id. Answers to earlier
// requests on the connection are skipped.
func readAnswer(br *bufio.Reader, id []byte, head, fresh bool) (*answer, error) {
	for range interimAnswers {
		a := &answer{}
		if err := a.header.Read(br); err != nil {
			return nil, err
		}
		if a.header.StatusCode() < fasthttp.StatusOK {
			continue
		}
		if err := a.readBody(br, head); err != nil {
			return nil, err
		}
		if a.answers(id, fresh) {
			return a, nil
		}
		if a.unframed {
			break
		}
	}
	return nil, errStray
}

// answers tells whether this is the answer to the request. One without an id
// is taken only as the first on its connection.
func (a *answer) answers(id []byte, fresh bool) bool {
	echoed := a.header.Peek(platform.HeaderRequestID)
	if len(echoed) == 0 {
		return fresh && a.header.StatusCode() >= fasthttp.StatusBadRequest
	}
	return bytes.Equal(echoed, id)
}

func (a *answer) readBody(br *bufio.Reader, head bool) error {
	status, length := a.header.StatusCode(), a.header.ContentLength()
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	var err error
	switch {
	case length > answerBytes:
		return errTooLarge
	case length >= 0:
		a.body = make([]byte, length)
		_, err = io.ReadFull(br, a.body)
	case length == -1:
		chunks := chunked.NewReader(br)
		a.body, err = io.ReadAll(io.LimitReader(chunks, answerBytes+1))
	default:
		a.unframed = true
		a.body, err = io.ReadAll(io.LimitReader(br, answerBytes+1))
	}
	if err != nil {
		return err
	}
	if len(a.body) > answerBytes {
		return errTooLarge
	}
	return nil
}

// check tells whether the answer may be passed on as the target's.
func (a *answer) check() error {
	if len(a.header.ContentEncoding()) > 0 {
		return errEncoded
	}
	if a.success() && len(a.header.Peek(platform.HeaderMAC)) == 0 {
		return errAnswer
	}
	return nil
}

func (a *answer) success() bool {
	return a.header.StatusCode() >= fasthttp.StatusOK && a.header.StatusCode() < fasthttp.StatusMultipleChoices
}

// appendTo encodes the answer for the caller.
func (a *answer) appendTo(dst []byte, head, last bool) []byte {
	dst = appendStatus(dst, a.header.StatusCode())
	named := namedByConnection(a.header.Peek("Connection"))
	for name, value := range a.header.All() {
		if connectionFields[string(name)] || named[string(name)] {
			continue
		}
		dst = appendField(dst, name, value)
	}
	length := len(a.body)
	if head {
		length = max(a.header.ContentLength(), 0)
	}
	dst = appendLength(dst, length, last)
	return append(dst, a.body...)
}

func appendStatus(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(status)...)
	return append(dst, "\r\n"...)
}

// appendLength ends a header. last announces that the connection closes.
func appendLength(dst []byte, length int, last bool) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(length), 10)
	if last {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(dst, "\r\n\r\n"...)
}
