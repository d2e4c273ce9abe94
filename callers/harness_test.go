package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/linger"
)

// testHandler serves requests by a script. GET and HEAD requests may run beside
// others.
type testHandler struct {
	limits      Limits
	leaving     atomic.Bool
	concurrency atomic.Int64
	// overBudget makes each Charge exceed the budget.
	overBudget atomic.Bool
	// idleTimeout replaces that of limits, if it is set.
	idleTimeout atomic.Int64
	script      func(r *testRequest, call *Call) *testReply
	// refuse refuses requests by their header, if it is set.
	refuse func(r *testRequest) *testReply

	mu sync.Mutex
	// started and dropped are the ids of requests, charged the bytes that count
	// towards the budget, open the replies that were not ended.
	started, dropped           []string
	running, posts, maxRunning int
	charged, open              int
	violations                 []string
	ends                       []Reason
	outcomes                   []linger.Outcome
}

func newTestHandler(script func(r *testRequest, call *Call) *testReply) *testHandler {
	h := &testHandler{script: script, limits: Limits{HeaderBytes: 4096, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 10 * time.Second}}
	h.concurrency.Store(8)
	return h
}

func (h *testHandler) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func (h *testHandler) Limits() Limits {
	limits := h.limits
	if changed := h.idleTimeout.Load(); changed > 0 {
		limits.IdleTimeout = time.Duration(changed)
	}
	return limits
}

func (h *testHandler) Leaving() bool    { return h.leaving.Load() }
func (h *testHandler) Concurrency() int { return int(h.concurrency.Load()) }
func (h *testHandler) Begun(int)        {}

func (h *testHandler) Admit(header *fasthttp.RequestHeader, arrived time.Time) (Request, Reply) {
	r := &testRequest{h: h, id: string(header.Peek("X-Id")), header: header, arrived: arrived}
	if h.refuse != nil {
		if p := h.refuse(r); p != nil {
			return nil, h.reply(r.id, p)
		}
	}
	return r, nil
}

func (h *testHandler) reply(id string, p *testReply) *testReply {
	p.h, p.id = h, id
	h.locked(func() { h.open++ })
	return p
}

func (h *testHandler) RefuseHeader(status int, _ error) Reply {
	return h.reply("", &testReply{status: status})
}

func (h *testHandler) RefuseBody(Request, error) Reply { return nil }

func (h *testHandler) Charge(n int) bool {
	h.locked(func() { h.charged += n })
	return !h.overBudget.Load()
}

func (h *testHandler) Discharge(n int)     { h.locked(func() { h.charged -= n }) }
func (h *testHandler) Ended(reason Reason) { h.locked(func() { h.ends = append(h.ends, reason) }) }
func (h *testHandler) Closed(outcome linger.Outcome, _ int) {
	h.locked(func() { h.outcomes = append(h.outcomes, outcome) })
}
func (h *testHandler) Guard(f func()) bool { return panics.Try(f) == nil }

type testRequest struct {
	h       *testHandler
	id      string
	header  *fasthttp.RequestHeader
	arrived time.Time
	body    []byte
	rest    io.Reader
}

// maxTestBody is the largest body that is held in memory in full.
const maxTestBody = 200 << 10

func (r *testRequest) BodyTimeout() time.Duration { return 2 * time.Second }

func (r *testRequest) ReadBody(br *bufio.Reader) error {
	length := max(r.header.ContentLength(), 0)
	r.body = make([]byte, min(length, maxTestBody))
	if length > maxTestBody {
		r.rest = io.LimitReader(br, int64(length-maxTestBody))
	}
	_, err := io.ReadFull(br, r.body)
	return err
}

func (r *testRequest) Streams() bool                     { return r.rest != nil }
func (r *testRequest) Concurrent() bool                  { return !r.header.IsPost() }
func (r *testRequest) HeldBytes() (held, unbudgeted int) { return len(r.body), len(r.body) }

func (r *testRequest) Expires() time.Time {
	if left, err := time.ParseDuration(string(r.header.Peek("X-Left"))); err == nil {
		return r.arrived.Add(left)
	}
	return time.Time{}
}

func (r *testRequest) Serve(call *Call) Reply {
	post := r.header.IsPost()
	r.h.locked(func() {
		r.h.started = append(r.h.started, r.id)
		if post && r.h.running > 0 || r.h.posts > 0 {
			r.h.violations = append(r.h.violations, r.id+" was begun beside another request that must run alone")
		}
		r.h.running++
		if post {
			r.h.posts++
		}
		r.h.maxRunning = max(r.h.maxRunning, r.h.running)
	})
	p := r.h.script(r, call)
	r.h.locked(func() {
		r.h.running--
		if post {
			r.h.posts--
		}
	})
	if p == nil {
		return nil
	}
	return r.h.reply(r.id, p)
}

func (r *testRequest) RefuseExpired() Reply {
	return r.h.reply(r.id, &testReply{status: 503})
}

func (r *testRequest) Drop() { r.h.locked(func() { r.h.dropped = append(r.h.dropped, r.id) }) }

// testReply is a reply with a status, 200 if that is 0. rest has the given length.
type testReply struct {
	h          *testHandler
	id         string
	status     int
	body       string
	rest       io.Reader
	restLength int
	isHead     bool
	// endPanics makes End panic after it was counted.
	endPanics bool
}

func (p *testReply) AppendHead(dst []byte, closing bool) []byte {
	if p.status == 0 {
		p.status = 200
	}
	dst = fmt.Appendf(dst, "HTTP/1.1 %d X\r\nX-Id: %s\r\n", p.status, p.id)
	if p.rest != nil && p.restLength < 0 {
		dst = append(dst, "Transfer-Encoding: chunked\r\n"...)
	} else {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(p.body)+p.restLength)
	}
	if closing {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

func (p *testReply) Body() []byte {
	if p.isHead {
		return nil
	}
	return []byte(p.body)
}
func (p *testReply) Rest() (io.Reader, bool)              { return p.rest, p.restLength < 0 }
func (p *testReply) ReleaseBody()                         {}
func (p *testReply) WaitingBytes() (held, unbudgeted int) { return len(p.body), len(p.body) }
func (p *testReply) End(error) {
	p.h.locked(func() { p.h.open-- })
	if p.endPanics {
		panic("test")
	}
}

func (h *testHandler) startedIDs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.started)
}

// sortedIDs returns the ids of the started requests. Those that are begun together
// start in any order.
func (h *testHandler) sortedIDs() []string { return slices.Sorted(slices.Values(h.startedIDs())) }

func (h *testHandler) count(f func(h *testHandler) int) (n int) {
	h.locked(func() { n = f(h) })
	return n
}

// testCaller is a connection to a set of connections that a handler serves.
type testCaller struct {
	t    testing.TB
	is   *is.I
	h    *testHandler
	set  *Set
	conn *net.TCPConn
	// far is the side that the handler serves.
	far *net.TCPConn
	br  *bufio.Reader
}

func connect(t testing.TB, h *testHandler) *testCaller {
	t.Helper()
	return connectWith(t, h, &net.Dialer{})
}

func connectWith(t testing.TB, h *testHandler, dialer *net.Dialer) *testCaller {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err := dialer.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	set := NewSet(h, linger.Limits{})
	set.Serve(far)
	t.Cleanup(func() { _ = near.Close() })
	c := &testCaller{t: t, h: h, set: set, conn: near.(*net.TCPConn), far: far.(*net.TCPConn), br: bufio.NewReader(near)}
	if tt, ok := t.(*testing.T); ok {
		c.is = is.New(tt)
	}
	return c
}

// request returns the text of a request; fields are additional header lines.
func request(method, id string, fields ...string) string {
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n", method, id, id)
	for _, field := range fields {
		text += field + "\r\n"
	}
	return text + "\r\n"
}

func gets(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString(request("GET", id))
	}
	return b.String()
}

func (c *testCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// received is a response: its status, id, body and whether the connection closes.
type received struct {
	status  int
	id      string
	body    string
	closing bool
}

func (c *testCaller) receive() (received, error) {
	return c.receiveFor("GET")
}

func (c *testCaller) receiveFor(method string) (received, error) {
	return c.receiveUntil(method, time.Now().Add(10*time.Second))
}

func (c *testCaller) receiveWithin(timeout time.Duration) (received, error) {
	return c.receiveUntil("GET", time.Now().Add(timeout))
}

func (c *testCaller) receiveUntil(method string, deadline time.Time) (received, error) {
	_ = c.conn.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return received{}, err
	}
	body, err := io.ReadAll(response.Body)
	return received{response.StatusCode, response.Header.Get("X-Id"), string(body), response.Close}, err
}

// expect receives responses with status 200, or another one behind a colon. The
// last one of a connection is marked by "!".
func (c *testCaller) expect(ids ...string) {
	c.t.Helper()
	for _, want := range ids {
		r, err := c.receive()
		if err != nil {
			c.t.Fatalf("waiting for %s: %v", want, err)
		}
		got := r.id
		if r.status != 200 {
			got += fmt.Sprintf(":%d", r.status)
		}
		if r.closing {
			got += "!"
		}
		if got != want {
			c.t.Fatalf("response %s, want %s", got, want)
		}
	}
}

// expectEnd expects the connection to be closed, and not reset.
func (c *testCaller) expectEnd(reason Reason) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.br.ReadByte(); err != io.EOF {
		c.t.Fatalf("%v, want EOF", err)
	}
	c.expectReleased(reason)
}

// expectReleased waits until the connection has ended and checks that it holds
// nothing.
func (c *testCaller) expectReleased(reason Reason) {
	c.t.Helper()
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.h.locked(func() {
		if c.h.open != 0 || c.h.charged != 0 || c.set.WaitingBytes() != 0 || c.h.running != 0 {
			c.t.Errorf("%d replies, %d charged bytes, %d waiting bytes and %d requests are left", c.h.open, c.h.charged, c.set.WaitingBytes(), c.h.running)
		}
		if len(c.h.ends) != 1 || c.h.ends[0] != reason {
			c.t.Errorf("ends %v, want %s", c.h.ends, reason)
		}
		if len(c.h.violations) > 0 {
			c.t.Error(c.h.violations)
		}
	})
}

func (c *testCaller) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

func (c *testCaller) waitStarted(n int) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("%d started requests", n), func() bool { return len(c.h.startedIDs()) >= n })
}

// gates lets the requests of a script wait until they are opened.
type gates struct {
	mu   sync.Mutex
	open map[string]chan struct{}
}

func newGates() *gates { return &gates{open: map[string]chan struct{}{}} }

func (g *gates) of(id string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[id] == nil {
		g.open[id] = make(chan struct{})
	}
	return g.open[id]
}

func (g *gates) release(ids ...string) {
	for _, id := range ids {
		close(g.of(id))
	}
}

// cancelSignal is an exchange that a script waits for.
type cancelSignal struct {
	once sync.Once
	done chan struct{}
}

func (s *cancelSignal) Cancel() { s.once.Do(func() { close(s.done) }) }

// script waits for the request's gate, or until it is canceled.
func (g *gates) script(r *testRequest, call *Call) *testReply {
	x := &cancelSignal{done: make(chan struct{})}
	if !call.Attach(x) {
		return nil
	}
	defer call.Detach()
	select {
	case <-g.of(r.id):
		return &testReply{body: r.id, isHead: r.header.IsHead()}
	case <-x.done:
		return nil
	}
}
