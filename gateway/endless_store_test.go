package gateway

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance whose callers are no longer served, or whose memory
// is used up, while responses of the store do not end.
func TestEndlessResponsesOfTheStoreLeaveRequestsAlone(t *testing.T) {
	for name, text := range map[string][2]string{
		"head":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n[[[[[[[[\r\n"},
		"trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.startTarget("i-1", respondOK)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			var endless atomic.Bool
			link := &storeLink{listener: listener}
			t.Cleanup(link.cut)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if !endless.Load() {
						go link.forward(conn, s.store.Address())
						continue
					}
					go func() {
						_, _ = io.WriteString(conn, text[0])
						writeUntilClosed(conn, repeatTo(text[1], 16<<10))
						_ = conn.Close()
					}()
				}
			}()
			g := s.startInstanceAt("g", 320, 1000, listener.Addr().String())
			s.waitForTargets(g, 1)
			endless.Store(true)
			link.mu.Lock()
			for _, conn := range link.conns {
				_ = conn.Close()
			}
			link.mu.Unlock()
			grown := peakHeap(func() {
				c := s.connect(g)
				for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					is.Equal(c.do("GET", "/read/1", "").status, 200)
				}
			})
			t.Logf("the heap grew by %d KiB", grown>>10)
			is.True(grown <= 48<<20)
		})
	}
}

// repeatTo repeats a text up to a length.
func repeatTo(text string, length int) string {
	for len(text) < length {
		text += text
	}
	return text
}
