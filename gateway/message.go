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
	// maxBufferedBody is the largest request body that is held in memory. Such
	// a body can be sent to a second target.
	maxBufferedBody = 1 << 20
	// maxResponseBody limits the body of a target's response.
	maxResponseBody = 16 << 20
	// maxResponsesRead limits the responses that are read for one request. 1xx
	// responses and responses to earlier requests may precede the final one.
	maxResponsesRead = 5
)

var (
	errTooLarge           = errors.New("the body is larger than the limit")
	errConflictingFraming = errors.New("the request has both Content-Length and Transfer-Encoding")
	errIncompleteBody     = errors.New("the request body ended early or could not be read")
	errMissingMAC         = errors.New("the response reports success but has no MAC")
	errContentEncoded     = errors.New("the response has a content encoding that was not requested")
	errNoMatchingResponse = errors.New("no response matches the request id")
)

// body is the body of a request. Its first part, or all of it, is held in
// memory.
type body struct {
	buffered []byte
	// rest streams what follows buffered; it is nil if that is the whole body.
	rest io.Reader
	// length is the length of the whole body, or -1 for a chunked one that is
	// not buffered in full.
	length int
}

func (b *body) size() int { return max(b.length, len(b.buffered)) }

// readBody buffers a small body in full, and the first part of a larger one.
func readBody(br *bufio.Reader, header *fasthttp.RequestHeader, limit int) (body, error) {
	declared := header.ContentLength()
	switch {
	case declared == 0 || declared == -2:
		return body{}, nil
	case declared > limit:
		return body{}, errTooLarge
	case declared == -1 && hasContentLength(header):
		return body{}, errConflictingFraming
	case declared == -1:
		return readChunkedBody(br, limit)
	}
	buffered := make([]byte, min(declared, maxBufferedBody))
	if _, err := io.ReadFull(br, buffered); err != nil {
		return body{}, errIncompleteBody
	}
	b := body{buffered: buffered, length: declared}
	if declared > maxBufferedBody {
		b.rest = io.LimitReader(br, int64(declared-maxBufferedBody))
	}
	return b, nil
}

// hasContentLength reports whether a chunked request also has a Content-Length.
// Servers that disagree on which of the two counts see different requests.
func hasContentLength(header *fasthttp.RequestHeader) bool {
	return bytes.Contains(bytes.ToLower(header.RawHeaders()), []byte("content-length:"))
}

func readChunkedBody(br *bufio.Reader, limit int) (body, error) {
	chunks := chunked.NewReader(br)
	buffered, err := io.ReadAll(io.LimitReader(chunks, maxBufferedBody+1))
	if err != nil {
		return body{}, errIncompleteBody
	}
	if len(buffered) > limit {
		return body{}, errTooLarge
	}
	if len(buffered) <= maxBufferedBody {
		return body{buffered: buffered, length: len(buffered)}, nil
	}
	return body{buffered: buffered, rest: &limitedReader{reader: chunks, remaining: limit - len(buffered)}, length: -1}, nil
}

// limitedReader returns errTooLarge when a chunked upload exceeds the limit.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.remaining -= n
	if l.remaining < 0 {
		return n, errTooLarge
	}
	return n, err
}

// hopByHopFields apply to one connection and are not forwarded. The gateway
// writes the fields that frame a body itself.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Expect": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Transfer-Encoding": true, "Content-Length": true,
}

// gatewayFields are set by the gateway; a caller's values are dropped.
var gatewayFields = map[string]bool{
	platform.HeaderExpectTarget: true, platform.HeaderTimeLeft: true,
}

// connectionOptions returns the additional hop-by-hop fields that a Connection
// field names.
func connectionOptions(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	options := map[string]bool{}
	for _, name := range bytes.Split(value, []byte(",")) {
		name = bytes.TrimSpace(name)
		if !bytes.EqualFold(name, []byte("close")) && !bytes.EqualFold(name, []byte("keep-alive")) {
			options[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, name))] = true
		}
	}
	return options
}

func appendField(dst []byte, name, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// appendCommonHead encodes the request line and the header fields that all
// attempts share.
func appendCommonHead(dst []byte, header *fasthttp.RequestHeader, length int) []byte {
	options := connectionOptions(header.Peek("Connection"))
	dst = append(dst, header.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, header.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	for name, value := range header.All() {
		if hopByHopFields[string(name)] || gatewayFields[string(name)] || options[string(name)] {
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

// response is a complete response of a target.
type response struct {
	header fasthttp.ResponseHeader
	body   []byte
	// unframed is set if only the end of the connection marked the end of the
	// body.
	unframed bool
}

// readResponse reads the response to the request with the given id. It skips
// responses to earlier requests on the connection.
func readResponse(br *bufio.Reader, id []byte, isHead, firstOnConn bool) (*response, error) {
	for range maxResponsesRead {
		resp := &response{}
		if err := resp.header.Read(br); err != nil {
			return nil, err
		}
		if resp.header.StatusCode() < fasthttp.StatusOK {
			continue
		}
		if err := resp.readBody(br, isHead); err != nil {
			return nil, err
		}
		if resp.matches(id, firstOnConn) {
			return resp, nil
		}
		if resp.unframed {
			break
		}
	}
	return nil, errNoMatchingResponse
}

// matches reports whether this is the response to the request with the given
// id. One without an id matches only if it is the first on its connection and
// reports an error.
func (resp *response) matches(id []byte, firstOnConn bool) bool {
	echoed := resp.header.Peek(platform.HeaderRequestID)
	if len(echoed) == 0 {
		return firstOnConn && resp.header.StatusCode() >= fasthttp.StatusBadRequest
	}
	return bytes.Equal(echoed, id)
}

func (resp *response) readBody(br *bufio.Reader, isHead bool) error {
	status, length := resp.header.StatusCode(), resp.header.ContentLength()
	if isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	var err error
	switch {
	case length > maxResponseBody:
		return errTooLarge
	case length >= 0:
		resp.body = make([]byte, length)
		_, err = io.ReadFull(br, resp.body)
	case length == -1:
		chunks := chunked.NewReader(br)
		resp.body, err = io.ReadAll(io.LimitReader(chunks, maxResponseBody+1))
	default:
		resp.unframed = true
		resp.body, err = io.ReadAll(io.LimitReader(br, maxResponseBody+1))
	}
	if err != nil {
		return err
	}
	if len(resp.body) > maxResponseBody {
		return errTooLarge
	}
	return nil
}

// validate returns an error if the response must not be forwarded as the
// target's.
func (resp *response) validate() error {
	if len(resp.header.ContentEncoding()) > 0 {
		return errContentEncoded
	}
	if resp.isSuccess() && len(resp.header.Peek(platform.HeaderMAC)) == 0 {
		return errMissingMAC
	}
	return nil
}

func (resp *response) isSuccess() bool {
	return resp.header.StatusCode() >= fasthttp.StatusOK && resp.header.StatusCode() < fasthttp.StatusMultipleChoices
}

// appendTo encodes the response for the caller. closeConn announces that the
// connection closes.
func (resp *response) appendTo(dst []byte, isHead, closeConn bool) []byte {
	dst = appendStatusLine(dst, resp.header.StatusCode())
	options := connectionOptions(resp.header.Peek("Connection"))
	for name, value := range resp.header.All() {
		if hopByHopFields[string(name)] || options[string(name)] {
			continue
		}
		dst = appendField(dst, name, value)
	}
	length := len(resp.body)
	if isHead {
		length = max(resp.header.ContentLength(), 0)
	}
	dst = appendHeaderEnd(dst, length, closeConn)
	return append(dst, resp.body...)
}

func appendStatusLine(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(status)...)
	return append(dst, "\r\n"...)
}

// appendHeaderEnd appends the last fields of a header and the empty line.
// closeConn announces that the connection closes.
func appendHeaderEnd(dst []byte, length int, closeConn bool) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(length), 10)
	if closeConn {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(dst, "\r\n\r\n"...)
}
