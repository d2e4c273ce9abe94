package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/linger/lingertest"
)

// dialSlow connects a caller whose receive buffer is small.
func dialSlow(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := lingertest.Dialer().Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

const slowBody = 9000

func respondSlowBody(conn net.Conn, r *receivedRequest) bool {
	return writeResponse(conn, r, 200, strings.Repeat("x", slowBody))
}

func sendReads(conn net.Conn, from, to int) error {
	for n := from; n < to; n++ {
		if _, err := fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-%d\r\n\r\n", n, n); err != nil {
			return err
		}
	}
	return nil
}

// waitWritten waits until the responses to n requests were written.
func (s *site) waitWritten(g *Gateway, n int) {
	s.t.Helper()
	s.waitFor("responses", func() bool {
		_, busy := g.callers.Count()
		return busy == 0 && g.connMetrics.outstandingHistogram().TotalCount() == int64(n)
	})
}

// Guards against a planned stop that loses responses which were written and not yet
// received: callers that pipeline and read slowly go on sending on a connection
// whose last response they have not read (review/6).
func TestDrainDeliversToCallersThatReadSlowly(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondSlowBody).forgets.Store(true)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	conn := dialSlow(t, g.node.Requests)
	br := bufio.NewReader(lingertest.SlowReader{Conn: conn, Rate: 25_000})
	sent, received := 4, 0
	is.NoErr(sendReads(conn, 0, sent))
	s.waitWritten(g, sent)
	drained := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		g.Drain()
		drained <- time.Since(began)
	}()
	s.waitFor("leaving", func() bool { return g.leaving.Load() })
	closing := false
	for ; !closing; received++ {
		// A stream of requests, of which the first one after the signal is the last
		// that is answered.
		_ = sendReads(conn, sent, sent+1)
		sent++
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(len(body), slowBody)
		is.Equal(resp.Header.Get("X-Request-Id"), fmt.Sprintf("r-%d", received))
		closing = resp.Close
	}
	is.True(received > 4)
	_, err := br.ReadByte()
	is.Equal(err, io.EOF)
	_ = conn.Close()
	is.True(<-drained < g.node.Bounds.Grace)
	is.True(strings.Contains(httpGet(t, g.node.Metrics, "/metrics").body, `connections_closed_total{outcome="stalled"} 0`))
	g.Cleanup()
}

// Guards against a drain that treats a connection as idle whose caller still
// receives a response, and drops what the caller sends next.
func TestDrainAnswersCallersThatStillReceive(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondSlowBody).forgets.Store(true)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	conn := dialSlow(t, g.node.Requests)
	is.NoErr(sendReads(conn, 0, 4))
	s.waitWritten(g, 4)
	drained := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		g.Drain()
		drained <- time.Since(began)
	}()
	time.Sleep(minDrainTime + 500*time.Millisecond) // the drain closes idle connections
	is.NoErr(sendReads(conn, 4, 5))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(lingertest.SlowReader{Conn: conn, Rate: 100_000})
	for n := range 5 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(len(body), slowBody)
		is.Equal(resp.Close, n == 4)
	}
	_ = conn.Close()
	is.True(<-drained < g.node.Bounds.Grace)
	g.Cleanup()
}

// Guards against a planned stop that waits for callers that read nothing until the
// process is killed.
func TestDrainEndsWithinGraceBesideCallersThatReadNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondSlowBody).forgets.Store(true)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	for range 20 {
		is.NoErr(sendReads(dialSlow(t, g.node.Requests), 0, 4))
	}
	s.waitWritten(g, 80)
	began := time.Now()
	g.Drain()
	is.True(time.Since(began) < g.node.Bounds.Grace)
	_, unreceived := g.callers.Ending()
	is.True(unreceived > 0)
	g.Cleanup()
}

// Guards against callers that read nothing and hold the descriptors that others
// need.
func TestCallersThatReadNothingGiveUpTheirDescriptors(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	var exhausted atomic.Bool
	s.provisioned = func(g *Gateway) { g.requestListener = exhaustedListener{g.requestListener, &exhausted} }
	s.startTarget("i-1", respondSlowBody).forgets.Store(true)
	g := s.startInstance("g")
	s.waitForTargets(g, 1)
	conn := dialSlow(t, g.node.Requests)
	_, err := io.WriteString(conn, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	s.waitFor("response", func() bool { _, unreceived := g.callers.Ending(); return unreceived > 0 })
	exhausted.Store(true)
	began := time.Now()
	other, err := net.Dial("tcp4", g.node.Requests)
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	s.waitFor("reclaimed descriptor", func() bool { open, _ := g.callers.Count(); return open == 0 })
	is.True(time.Since(began) < time.Second)
	exhausted.Store(false)
	is.True(strings.Contains(httpGet(t, g.node.Metrics, "/metrics").body, `connections_closed_total{outcome="evicted"} 1`))
	is.NoErr(s.connect(g).exchangeOnce("/read/2"))
}
