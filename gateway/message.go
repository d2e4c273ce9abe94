package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/httpread"
	"pistachioford.example/pistachioford/platform"
)

const (
	// maxBufferedBody is the largest request body that is held in memory. Such
	// a body can be sent to a second target.
	maxBufferedBody = 1 << 20
	// maxHeldResponse is the largest part of a response body that is held in
	// memory. A response that is held in full can be replaced by that of another
	// target if it breaks off; a larger one is passed on in pieces.
	maxHeldResponse = 128 << 10
	// maxPipelinedResponse is the same for a response whose caller has further
	// requests under way on its connection: if it broke off after a part of it was
	// passed on, their responses would be lost with the connection. One that waits
	// for its turn must not lie unread at its target, which may cut it off.
	maxPipelinedResponse = 2 << 20
	// maxResponseBody limits the body of a target's response.
	maxResponseBody = 16 << 20
	// maxResponsesRead limits the responses that are read for one request. 1xx
	// responses and responses to earlier requests may precede the final one.
	maxResponsesRead = 5
)

var (
	errTooLarge           = errors.New("the body is larger than the limit")
	errUploadTooLarge     = fmt.Errorf("upload: %w", errTooLarge)
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
	// held is the share of the memory budget that buffered takes.
	held *heldBody
	// rest streams what follows buffered; it is nil if that is the whole body.
	rest io.Reader
	// length is the length of the whole body, or -1 for a chunked one that is
	// not buffered in full.
	length int
}

func (b *body) size() int { return max(b.length, len(b.buffered)) }

// release returns the body's share of the memory budget.
func (b *body) release() {
	if b.held != nil {
		b.held.release()
	}
}

// readBody buffers a small body in full, and the first part of a larger one or
// of one for which the budget has no room. The body must be released.
func readBody(br *bufio.Reader, header *fasthttp.RequestHeader, limit int, budget *memoryBudget) (body, error) {
	declared := header.ContentLength()
	switch {
	case declared == 0 || declared == -2:
		return body{}, nil
	case declared > limit:
		return body{}, errTooLarge
	case declared == -1 && hasContentLength(header):
		return body{}, errConflictingFraming
	case declared == -1:
		return readChunkedBody(br, limit, budget)
	}
	b := body{length: declared, held: &heldBody{budget: budget}}
	b.held.expect(declared)
	whole := &io.LimitedReader{R: br, N: int64(declared)}
	ended, err := b.held.readUpTo(whole, min(declared, maxBufferedBody))
	b.buffered = b.held.bytes
	if err != nil || ended && len(b.buffered) < declared {
		b.release()
		return body{}, errIncompleteBody
	}
	if len(b.buffered) < declared {
		b.rest = whole
	}
	return b, nil
}

// hasContentLength reports whether a chunked request also has a Content-Length.
// Servers that disagree on which of the two counts see different requests.
func hasContentLength(header *fasthttp.RequestHeader) bool {
	return bytes.Contains(bytes.ToLower(header.RawHeaders()), []byte("content-length:"))
}

func readChunkedBody(br *bufio.Reader, limit int, budget *memoryBudget) (body, error) {
	chunks := httpread.NewChunkedReader(br)
	b := body{held: &heldBody{budget: budget}}
	ended, err := b.held.readUpTo(chunks, maxBufferedBody+1)
	b.buffered = b.held.bytes
	switch {
	case err != nil:
		b.release()
		return body{}, errIncompleteBody
	case len(b.buffered) > limit:
		b.release()
		return body{}, errTooLarge
	case ended:
		b.length = len(b.buffered)
	default:
		b.rest, b.length = &limitedReader{reader: chunks, remaining: limit - len(b.buffered)}, -1
	}
	return b, nil
}

// limitedReader returns errTooLarge when a body of unknown length exceeds the
// limit.
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

// accountFields are dropped in addition if callers need keys.
var accountFields = map[string]bool{platform.HeaderAuthorization: true, platform.HeaderAccount: true}

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
// attempts share. The key of a client account is replaced by the account's name.
func (r *request) appendCommonHead(dst []byte) []byte {
	header, length := r.header, r.body.length
	options := connectionOptions(header.Peek("Connection"))
	dst = append(dst, header.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, header.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	for name, value := range header.All() {
		if hopByHopFields[string(name)] || gatewayFields[string(name)] || options[string(name)] {
			continue
		}
		if r.accounts != nil && accountFields[string(name)] {
			continue
		}
		dst = appendField(dst, name, value)
	}
	if r.Account != nil {
		dst = appendField(dst, []byte(platform.HeaderAccount), []byte(r.Account.Name))
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

// response is the response of a target. Its body is held in memory, in full or
// up to rest.
type response struct {
	header fasthttp.ResponseHeader
	body   []byte
	held   *heldBody
	// rest streams what follows body; it is nil if that is the whole body.
	rest io.Reader
	// finish must be called once after rest was read; complete reports whether
	// it was read to its end. It is nil if rest is.
	finish func(complete bool)
	// unframed is set if only the end of the connection marked the end of the
	// body.
	unframed bool
}

// release returns the body's share of the memory budget.
func (resp *response) release() {
	if resp.held != nil {
		resp.held.release()
		resp.body = nil
	}
}

// readResponse reads the response to the request with the given id. It skips
// responses to earlier requests on the connection. The response must be
// released.
func readResponse(br *bufio.Reader, id []byte, isHead, firstOnConn bool, held *heldBody) (*response, error) {
	for range maxResponsesRead {
		resp := &response{}
		if err := httpread.ReadHead(br, &resp.header); err != nil {
			return nil, err
		}
		if resp.header.StatusCode() < fasthttp.StatusOK {
			continue
		}
		content, err := resp.content(br, isHead)
		if err != nil {
			return nil, err
		}
		if resp.matches(id, firstOnConn) {
			return resp, resp.hold(content, held)
		}
		if resp.unframed {
			break
		}
		if _, err := io.Copy(io.Discard, content); err != nil {
			return nil, err
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

// content returns a reader of the body. It returns io.EOF only at the end of a
// complete body, and an error beyond maxResponseBody.
func (resp *response) content(br *bufio.Reader, isHead bool) (io.Reader, error) {
	if !isHead && resp.header.ContentLength() > maxResponseBody {
		return nil, errTooLarge
	}
	content, unframed, err := httpread.Body(br, &resp.header, isHead)
	if err != nil {
		return nil, err
	}
	resp.unframed = unframed
	return &limitedReader{reader: content, remaining: maxResponseBody}, nil
}

// hold reads the body, or the first part of a large one. On an error it keeps
// nothing.
func (resp *response) hold(content io.Reader, held *heldBody) error {
	held.expect(resp.header.ContentLength())
	ended, err := held.readUpTo(content, maxHeldResponse)
	if err != nil {
		held.release()
		return err
	}
	resp.held, resp.body = held, held.bytes
	if !ended {
		resp.rest = content
	}
	return nil
}

// holdMore reads the body further, up to limit bytes in all. On an error it keeps
// nothing.
func (resp *response) holdMore(limit int) error {
	if declared := resp.header.ContentLength(); declared > 0 {
		// The end of the body is known after its last byte was read.
		limit = min(limit, declared+1)
	}
	ended, err := resp.held.readUpTo(resp.rest, limit)
	if err != nil {
		resp.release()
		return err
	}
	resp.body = resp.held.bytes
	if ended {
		resp.rest = nil
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

// appendHead encodes the status line and the header for the caller. framing says
// how the body is delimited.
func (resp *response) appendHead(dst []byte, framing framing) []byte {
	dst = appendStatusLine(dst, resp.header.StatusCode())
	options := connectionOptions(resp.header.Peek("Connection"))
	for name, value := range resp.header.All() {
		if hopByHopFields[string(name)] || options[string(name)] {
			continue
		}
		dst = appendField(dst, name, value)
	}
	return framing.appendTo(dst)
}

// framing delimits the body of a response to a caller and says whether the
// connection stays open.
type framing struct {
	// length is the declared length, or -1 for a chunked body.
	length    int
	closeConn bool
}

func (f framing) appendTo(dst []byte) []byte {
	if f.length < 0 {
		dst = append(dst, "Transfer-Encoding: chunked"...)
	} else {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(f.length), 10)
	}
	if f.closeConn {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(dst, "\r\n\r\n"...)
}

func appendStatusLine(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(status)...)
	return append(dst, "\r\n"...)
}
