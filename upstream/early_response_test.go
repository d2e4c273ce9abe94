package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/httpread/framingtest"
)

// Guards against a part of a response to a long upload that is taken for all of it: if
// the connection is reset, the write of the upload gets the error, and the end looks
// regular to the reader. A response whose framing shows that it is complete counts.
func TestEarlyResponseIsCompleteOrError(t *testing.T) {
	const size = 6 << 20
	content := strings.Repeat("x", 60<<10)
	responses := map[string]struct {
		text     string
		complete bool
	}{
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n" + content, false},
		"no length, head": {"HTTP/1.1 200 OK\r\n\r\n", false},
		"in the body":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(content)+1) + content, false},
		"in the chunks":   {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(content)) + content + "\r\n", false},
		"length":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(content)) + content, true},
		"chunked":         {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(content)) + content + "\r\n0\r\n\r\n", true},
	}
	for name, response := range responses {
		for _, resets := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, resets %t, chunked %t", name, resets, chunked), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := startFakeUpstream(t, func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
						f.readRequest(r)
						_, _ = io.WriteString(conn, response.text)
						framingtest.AwaitDelivery(conn)
						if resets {
							_ = conn.(*net.TCPConn).SetLinger(0)
							return
						}
						_ = conn.(*net.TCPConn).CloseWrite()
						_, _ = io.Copy(io.Discard, r)
					})
					pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
					defer pool.Close()
					for range 4 {
						body, length := Body{Rest: bytes.NewReader(make([]byte, size)), Length: size}, size
						if chunked {
							body.Length, length = -1, -1
						}
						var x Exchange
						result := x.Do(pool, header("POST", "/", length), body, time.Now().Add(10*time.Second), nil)
						is.Equal(result.Result == traffic.Completed, response.complete)
						if response.complete {
							is.True(string(result.Response.Body) == content)
						}
					}
				})
			}
		}
	}
}
