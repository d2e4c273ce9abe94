package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testLimits are the limits of a version of the document.
type testLimits struct {
	headerBytes, bodyBytes     int
	headerTimeout, idleTimeout time.Duration
}

var usualLimits = testLimits{16384, 8000000, time.Second, 3 * time.Second}

// setLimits makes a version of the document active that differs in its limits.
func (s *site) setLimits(g *Gateway, version int, l testLimits) {
	s.t.Helper()
	head, _, _ := strings.Cut(testDocument, `{"resource_kind":"limits"`)
	s.store.Put("op", "config", fmt.Appendf(nil, head+
		`{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout":"%dms","idle_timeout":"%dms"}}]}`,
		version, l.headerBytes, l.bodyBytes, l.headerTimeout.Milliseconds(), l.idleTimeout.Milliseconds()))
	s.waitForDocument(g, uint64(version))
}

// Guards against an open connection that keeps the limit on headers of the
// version under which it was opened, or last used.
func TestOpenConnectionsFollowTheHeaderLimit(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondOK)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	version := 1
	setHeaderLimit := func(bytes int) {
		version++
		limits := usualLimits
		limits.headerBytes = bytes
		s.setLimits(g, version, limits)
	}
	field := func(bytes int) string { return "Cookie: a=" + strings.Repeat("x", bytes) }
	setHeaderLimit(8192)
	unused, used, pipelined := s.connect(g), s.connect(g), s.connect(g)
	is.Equal(used.do("GET", "/read/1", "", field(100)).status, 200)
	setHeaderLimit(40000)
	is.Equal(unused.do("GET", "/read/2", "", field(20000)).status, 200)
	is.Equal(used.do("GET", "/read/3", "", field(39000)).status, 200)
	// A second request is in the buffer when it grows and shrinks.
	pipelined.send("GET", "/read/4", "", field(30000))
	pipelined.send("GET", "/read/5", "", field(20))
	is.Equal(pipelined.receive().status, 200)
	is.Equal(pipelined.receive().status, 200)
	is.Equal(used.do("GET", "/read/6", "", field(42000)).status, 431)
	setHeaderLimit(8192)
	is.Equal(unused.do("GET", "/read/7", "", field(7000)).status, 200)
	is.Equal(unused.do("GET", "/read/8", "", field(20000)).status, 431)
	is.Equal(pipelined.do("GET", "/read/9", "", field(10000)).status, 431)
	is.Equal(s.connect(g).do("GET", "/read/10", "", field(20000)).status, 431)
}

// Guards against a connection that waits for its next request with the limits of
// the version at the start of the wait.
func TestWaitingConnectionsFollowTheOtherLimits(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondOK)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	body := strings.Repeat("b", 3000)
	small := usualLimits
	small.bodyBytes, small.headerTimeout = 2000, 300*time.Millisecond
	s.setLimits(g, 2, small)
	raised, lowered := s.connect(g), s.connect(g)
	is.Equal(raised.do("GET", "/read/1", "").status, 200)
	s.setLimits(g, 3, usualLimits)
	is.Equal(raised.do("POST", "/order/1", body).status, 200)
	// A head that arrives more slowly than the older version allows.
	_, _ = io.WriteString(raised.conn, "GET /read/2 HTTP/1.1\r\nHost: h.example\r\n")
	time.Sleep(600 * time.Millisecond)
	_, _ = io.WriteString(raised.conn, "X-Request-Id: slow\r\n\r\n")
	is.Equal(raised.receive().status, 200)
	is.Equal(lowered.do("GET", "/read/3", "").status, 200)
	s.setLimits(g, 4, small)
	is.Equal(lowered.do("POST", "/order/2", body).status, 413)
}

// Guards against an idle connection that is closed, or kept, as an older version
// of the document has it.
func TestIdleConnectionsFollowTheIdleTimeout(t *testing.T) {
	for name, c := range map[string]struct{ before, after time.Duration }{
		"raised":  {700 * time.Millisecond, 5 * time.Second},
		"lowered": {5 * time.Second, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.startTarget("i-1", respondOK)
			g := s.startInstance("g")
			s.waitForTargets(g, 1)
			limits := usualLimits
			limits.idleTimeout = c.before
			s.setLimits(g, 2, limits)
			used, unused := s.connect(g), s.connect(g)
			is.Equal(used.do("GET", "/read/1", "").status, 200)
			limits.idleTimeout = c.after
			s.setLimits(g, 3, limits)
			time.Sleep(1200 * time.Millisecond)
			for _, caller := range []*caller{used, unused} {
				_ = caller.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, err := caller.br.Peek(1)
				is.Equal(isTimeout(err), c.after > c.before) // open
			}
			if c.after > c.before {
				is.Equal(used.do("GET", "/read/2", "").status, 200)
				is.Equal(unused.do("GET", "/read/3", "").status, 200)
			}
		})
	}
}
