package httpread

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a reader that leaves the connection inside a body.
func TestReaderStopsAtTheNextMessage(t *testing.T) {
	is := is.New(t)
	br := bufio.NewReader(strings.NewReader("3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\nNEXT"))
	body, err := io.ReadAll(NewChunkedReader(br))
	is.NoErr(err)
	is.Equal(string(body), "abcde")
	rest, err := io.ReadAll(br)
	is.NoErr(err)
	is.Equal(string(rest), "NEXT")
}

// Guards against a truncated or malformed body that is treated as a complete
// one.
func TestMalformedBodies(t *testing.T) {
	for _, text := range []string{"", "3\r\nab", "3\r\nabc\r\n", "3\r\nabc\r\n0\r\n", "zz\r\n", "0\r\n" + strings.Repeat("a: b\r\n", 40)} {
		_, err := io.ReadAll(NewChunkedReader(bufio.NewReader(strings.NewReader(text))))
		is.New(t).True(err != nil)
	}
}
