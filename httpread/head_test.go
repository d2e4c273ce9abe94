package httpread

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against heads that can be no response and pass for one, and against a
// wait for more after the byte that shows it.
func TestMalformedHeadsAreRefusedAtOnce(t *testing.T) {
	waits := errors.New("waits for more")
	for _, text := range []string{
		"x", "\r", "HTTP/2", "HTTP/1.2", "HTTP/1.1 000", "HTTP/1.1 6", "HTTP/1.1 20x", "HTTP/1.1 200\n", "HTTP/1.1 200 OK\n",
		"HTTP/1.1 200 OK\r\n ", "HTTP/1.1 200 OK\r\n:", "HTTP/1.1 200 OK\r\nName ", "HTTP/1.1 200 OK\r\nA: b\n", "HTTP/1.1 200 OK\r\nA: b\rC",
		"HTTP/1.1 200 OK\r\nA: \x00", "HTTP/1.1 200 OK\r\nA: b\r\n\rX",
		"HTTP/1.1 200 OK\r\nContent-Length: 010\r", "HTTP/1.1 200 OK\r\nContent-Length: -1\r", "HTTP/1.1 200 OK\r\nContent-Length: \r",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 206 Partial Content\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		br := bufio.NewReader(io.MultiReader(strings.NewReader(text), errReader{waits}))
		if err := ReadHead(br, &fasthttp.ResponseHeader{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against sound heads that are refused.
func TestSoundHeadsAreAccepted(t *testing.T) {
	is := is.New(t)
	for text, status := range map[string]int{
		"HTTP/1.1 200\r\n\r\n": 200, "HTTP/1.0 599 \xff\r\nContent-Length:0\r\n\r\n": 599,
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n":                                    204,
		"HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 0-0/2\r\nContent-Length: 1\r\n\r\n": 206,
		"HTTP/1.1 200 OK\r\nX-Long: a b\tc\r\ntransfer-encoding:  Chunked \r\n\r\n":               200,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n":                                 304,
	} {
		header := &fasthttp.ResponseHeader{}
		is.NoErr(ReadHead(bufio.NewReader(strings.NewReader(text)), header)) // text
		is.Equal(header.StatusCode(), status)
	}
}

// Guards against a line that begins with white space and is passed on as a part of
// the field before it, whatever field that is: the name of a field may have been
// damaged, or lost its first byte.
func TestContinuedLinesAreRefusedAtOnce(t *testing.T) {
	waits := errors.New("waits for more")
	read := func(text string) error {
		br := bufio.NewReader(io.MultiReader(strings.NewReader(text), errReader{waits}))
		return ReadFinalHead(br, &fasthttp.ResponseHeader{})
	}
	const interim = "HTTP/1.1 103 Early Hints\r\n"
	for _, before := range []string{"", "X-Long: a\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "X-Long: a\r\nLink: b\r\n"} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 404 Not Found\r\n", interim, interim + "\r\nHTTP/1.1 200 OK\r\n"} {
			is := is.New(t)
			is.Equal(read(head+before), waits)
			is.True(errors.Is(read(head+before+" "), ErrMalformed))
			is.True(errors.Is(read(head+before+"\t"), ErrMalformed))
		}
	}
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }
