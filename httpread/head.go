// Package httpread reads HTTP/1.1 responses from connections that are used
// again. It is strict: a lenient reader may take a response with a damaged byte
// in its framing for a complete one with another body.
package httpread

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	// ErrMalformed reports bytes that are not part of a response.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLong reports a head that does not fit into the read buffer.
	ErrHeadTooLong = errors.New("the head of the response is too long")
)

// BrokeOff reports whether a response ended with an error of its connection, after
// bytes that may begin a sound response. All other errors of this package mean
// that bytes have arrived which cannot be that response.
func BrokeOff(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// ReadHead reads the status line and the fields of a response. It returns an
// error as soon as a byte cannot be part of them, and io.EOF if the connection
// was closed before the first byte.
func ReadHead(br *bufio.Reader, header *fasthttp.ResponseHeader) error {
	var s headScanner
	for s.state != ended {
		if buffered, err := br.Peek(s.length + 1); err != nil {
			return headError(err, len(buffered))
		}
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		if err := s.scan(buffered); err != nil {
			return err
		}
	}
	if err := s.checkFields(); err != nil {
		return err
	}
	if err := header.Read(br); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return checkStatus(header)
}

func headError(err error, received int) error {
	switch {
	case err == bufio.ErrBufferFull:
		return ErrHeadTooLong
	case err == io.EOF && received > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// statusLine is the form of a status line up to the reason phrase: v stands for
// the minor version, f for the first digit of the status, d for the others.
const statusLine = "HTTP/1.v fdd"

// headState is the part of a head that the next byte belongs to.
type headState uint8

const (
	inStatus headState = iota
	inReason
	atLineStart
	inName
	inValue
	// afterCR and afterLastCR are before the line feed that ends a line or the
	// head.
	afterCR
	afterLastCR
	ended
)

// headScanner checks a head as it arrives.
type headScanner struct {
	state headState
	// length is the number of bytes that were checked.
	length int
	// nameStart and valueStart are positions of the current field.
	nameStart, valueStart int
	// field is the current field if it frames the message, or an empty string.
	field                   string
	contentLengths, codings int
	isHTTP10                bool
}

// scan checks the bytes of buffered that it has not seen.
func (s *headScanner) scan(buffered []byte) error {
	for ; s.length < len(buffered) && s.state != ended; s.length++ {
		if !s.accept(buffered, s.length) {
			return fmt.Errorf("%w: byte %q at position %d of the head", ErrMalformed, buffered[s.length], s.length)
		}
	}
	return nil
}

// accept reports whether the byte at position i may follow those before it.
func (s *headScanner) accept(head []byte, i int) bool {
	c := head[i]
	switch s.state {
	case inStatus:
		return s.acceptStatus(c, i)
	case inReason, inValue:
		if c != '\r' {
			return isFieldByte(c)
		}
		s.state = afterCR
		return s.acceptValue(head[s.valueStart:i])
	case atLineStart:
		return s.beginLine(c, i)
	case inName:
		if c != ':' {
			return isTokenByte(c)
		}
		s.state, s.valueStart = inValue, i+1
		s.recordName(head[s.nameStart:i])
		return true
	case afterCR:
		s.state = atLineStart
		return c == '\n'
	default:
		s.state = ended
		return c == '\n'
	}
}

// beginLine reports whether a line may begin with a byte. White space would continue
// the field before it, but no server may send such a line (RFC 9112, section 5.2), and
// a field whose name is damaged there would be lost.
func (s *headScanner) beginLine(c byte, i int) bool {
	if c == '\r' {
		s.state = afterLastCR
		return true
	}
	s.state, s.nameStart = inName, i
	return isTokenByte(c)
}

func (s *headScanner) acceptStatus(c byte, i int) bool {
	if i == len(statusLine) {
		s.state = inReason
		if c == '\r' {
			s.state = afterCR
		}
		return c == ' ' || c == '\r'
	}
	switch statusLine[i] {
	case 'v':
		s.isHTTP10 = c == '0'
		return c == '0' || c == '1'
	case 'f':
		return '1' <= c && c <= '5'
	case 'd':
		return '0' <= c && c <= '9'
	default:
		return c == statusLine[i]
	}
}

// recordName records the name of a field if it frames the message.
func (s *headScanner) recordName(name []byte) {
	s.field = ""
	for _, framing := range []string{fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding} {
		if len(name) == len(framing) && strings.EqualFold(framing, string(name)) {
			s.field = framing
		}
	}
}

// acceptValue reports whether the current field may have a value. A length has no
// leading zeros: a body may end early if a digit was damaged to 0.
func (s *headScanner) acceptValue(value []byte) bool {
	value = bytes.Trim(value, " \t")
	switch s.field {
	case fasthttp.HeaderContentLength:
		s.contentLengths++
		for _, c := range value {
			if c < '0' || c > '9' {
				return false
			}
		}
		return len(value) == 1 || len(value) > 1 && value[0] != '0'
	case fasthttp.HeaderTransferEncoding:
		s.codings++
		return bytes.EqualFold(value, []byte("chunked"))
	}
	return true
}

// checkFields returns an error if the fields that frame the body contradict each
// other.
func (s *headScanner) checkFields() error {
	switch {
	case s.contentLengths > 1 || s.codings > 1:
		return fmt.Errorf("%w: a field that frames the body is repeated", ErrMalformed)
	case s.contentLengths > 0 && s.codings > 0:
		return fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrMalformed)
	case s.codings > 0 && s.isHTTP10:
		return fmt.Errorf("%w: Transfer-Encoding in an HTTP/1.0 response", ErrMalformed)
	}
	return nil
}

// checkStatus returns an error if a response with this status cannot have these
// fields, which happens if its status was another one. No request of the readers
// asks for a switch of protocols.
func checkStatus(header *fasthttp.ResponseHeader) error {
	status, length := header.StatusCode(), header.ContentLength()
	framed := length > 0 || length == -1
	switch {
	case status == fasthttp.StatusSwitchingProtocols,
		status < fasthttp.StatusOK && (framed || length == 0),
		status == fasthttp.StatusNoContent && framed,
		status == fasthttp.StatusPartialContent && !isPart(header):
		return fmt.Errorf("%w: status %d does not fit the fields", ErrMalformed, status)
	}
	return nil
}

// isPart reports whether a response names the part of the content that it holds.
func isPart(header *fasthttp.ResponseHeader) bool {
	return len(header.Peek("Content-Range")) > 0 || bytes.HasPrefix(header.ContentType(), []byte("multipart/byteranges"))
}

// isFieldByte reports whether a value of a field may contain a byte.
func isFieldByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// tokenBytes marks the bytes of a token, of which names of fields consist.
var tokenBytes = func() (marked [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		marked[c] = true
	}
	return marked
}()

func isTokenByte(c byte) bool { return tokenBytes[c] }

// maxInterim bounds the interim (1xx) responses before the final one.
const maxInterim = 5

// ReadFinalHead reads the head of the final response. It skips interim ones.
func ReadFinalHead(br *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		header.Reset()
		if err := ReadHead(br, header); err != nil {
			return err
		}
		if header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: too many interim responses", ErrMalformed)
}
