package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/linger/lingertest"
)

// startSlowReader registers a target that reads a part of a large body, then nothing
// for a time, then the rest, and responds.
func (s *site) startSlowReader(id string, pause time.Duration) (received *atomic.Int64) {
	s.t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return lingertest.SetReceiveBuffer(raw, 32<<10)
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	received = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			n, err := io.CopyN(io.Discard, request.Body, 16<<10)
			received.Add(n)
			if err == nil {
				time.Sleep(pause)
			}
			n, err = io.Copy(io.Discard, request.Body)
			received.Add(n)
			if err != nil || !writeResponse(conn, &receivedRequest{header: request.Header}, 200, "ok") {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	s.register(id, listener.Addr().String(), "ready", 1)
	return received
}

// Guards against uploads that are broken off since their target reads nothing for a
// while: the system's timeout for data that is not acknowledged also applies to a
// closed window, though the target responds to each probe (review/8).
func TestUploadOutlivesATargetThatPausesReading(t *testing.T) {
	for _, size := range []int{400_000, 1_500_000} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			received := s.startSlowReader("i-1", 2*time.Second)
			g := s.startInstance("g")
			s.waitForTargets(g, 1)
			c := s.connect(g)
			// The connection to the target is used again.
			is.Equal(c.do("POST", "/slow/1", "small").status, 200)
			began := time.Now()
			resp := c.do("POST", "/slow/2", strings.Repeat("x", size))
			is.NoErr(resp.err)
			is.Equal(resp.status, 200)
			is.True(time.Since(began) >= 2*time.Second)
			is.Equal(received.Load(), int64(size+len("small")))
			if size < maxBufferedBody {
				is.Equal(c.do("POST", "/slow/3", "small").status, 200)
			}
		})
	}
}
