package callers

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against responses in the order in which requests end, against requests
// that run one at a time, and against a body in the response to HEAD.
func TestResponsesAreInRequestOrder(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.send(gets("a", "b") + request("HEAD", "c") + gets("d"))
	c.waitStarted(4)
	for _, id := range []string{"d", "c", "b", "a"} {
		g.release(id)
	}
	c.expect("a", "b")
	head, err := c.receiveFor("HEAD")
	c.is.NoErr(err)
	c.is.Equal(head.id, "c")
	c.expect("d")
	c.is.NoErr(c.conn.CloseWrite())
	c.expectEnd(ReasonCallerClosed)
}

// Guards against a connection that runs more requests than the handler allows,
// and against one that does not follow a changed limit.
func TestConcurrencyFollowsTheHandler(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.h.concurrency.Store(2)
	c.send(gets("a", "b", "c", "d", "e"))
	c.waitStarted(2)
	time.Sleep(50 * time.Millisecond)
	c.is.Equal(len(c.h.startedIDs()), 2)
	g.release("b") // its reply waits, but it runs no longer
	c.waitStarted(3)
	c.h.concurrency.Store(0) // counts as 1
	g.release("a")
	c.expect("a", "b")
	time.Sleep(50 * time.Millisecond)
	c.is.Equal(c.h.sortedIDs(), []string{"a", "b", "c"})
	g.release("c", "d", "e")
	c.expect("c", "d", "e")
	c.is.Equal(c.h.maxRunning, 2)
}

// Guards against a request that must not run beside others: it waits for those
// before it to be answered and holds up those behind it.
func TestNonConcurrentRequestRunsAlone(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.send(gets("a", "b") + request("POST", "c", "Content-Length: 3") + "xyz" + gets("d") + request("POST", "e") + gets("f"))
	c.waitStarted(2)
	g.release("b", "d", "e", "f")
	time.Sleep(50 * time.Millisecond)
	c.is.Equal(len(c.h.startedIDs()), 2)
	g.release("a")
	c.expect("a", "b")
	c.waitStarted(3)
	time.Sleep(50 * time.Millisecond)
	c.is.Equal(c.h.sortedIDs(), []string{"a", "b", "c"})
	g.release("c")
	c.expect("c", "d", "e", "f")
	c.is.Equal(len(c.h.violations), 0)
}

// Guards against a request that runs although its caller has stopped waiting, and
// against a time that counts from its turn instead of its arrival.
func TestExpiredRequestIsRefused(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.send(request("POST", "a") + request("GET", "b", "X-Left: 100ms") + request("GET", "c", "X-Left: 10s"))
	c.waitStarted(1)
	time.Sleep(150 * time.Millisecond)
	g.release("a", "c")
	c.expect("a", "b:503", "c")
	c.is.Equal(slices.Contains(c.h.startedIDs(), "b"), false)
}

// Guards against an announced close before the last response, and against a
// request behind it that is served.
func TestCloseRequestedInTheMiddle(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.h.concurrency.Store(1) // those before it have not all begun
	c.send(gets("a", "b") + request("GET", "c", "Connection: close") + gets("d", "e"))
	c.waitStarted(1)
	g.release("a", "b", "c", "d", "e")
	c.expect("a", "b", "c!")
	c.expectEnd(ReasonCloseRequested)
	c.is.Equal(c.h.sortedIDs(), []string{"a", "b", "c"})
}

// Guards against a planned stop that cuts off requests that were begun, or serves
// those that were only read: their caller sends them again.
func TestLeavingAnswersWhatWasBegun(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.h.concurrency.Store(3)
	c.send(gets("a", "b", "c", "d") + request("POST", "e") + gets("f"))
	c.waitStarted(3)
	time.Sleep(50 * time.Millisecond) // the others are read
	c.h.leaving.Store(true)
	c.set.CloseIdle(time.Now().Add(time.Hour), false)
	c.send(gets("g"))
	g.release("c", "b", "a", "d", "e", "f", "g")
	c.expect("a", "b", "c!")
	c.expectEnd(ReasonLeaving)
	c.is.Equal(len(c.h.startedIDs()), 3)
	slices.Sort(c.h.dropped)
	c.is.True(slices.Equal(c.h.dropped[:3], []string{"d", "e", "f"}))
}

// Guards against exchanges that go on after their caller has disconnected, also if
// that is behind more bytes than are read ahead.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	many := make([]string, 3*MaxOutstanding)
	for i := range many {
		many[i] = fmt.Sprint("id-", i)
	}
	for name, text := range map[string]string{
		"requests":         gets("a", "b", "c"),
		"many requests":    gets(many...),
		"part of a header": gets("a", "b") + "GET /c HT",
		"part of a body":   gets("a", "b") + request("POST", "c", "Content-Length: 10") + "x",
		"alone":            request("POST", "a") + gets("b", "c"),
		"last":             gets("a") + request("GET", "b", "Connection: close") + gets("c"),
		"upload":           gets("a") + request("POST", "b", "Content-Length: 500000") + "x",
		"malformed":        gets("a") + "?\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset=%t", name, reset), func(t *testing.T) {
				c := connect(t, newTestHandler(newGates().script))
				c.send(text)
				c.waitStarted(1)
				time.Sleep(30 * time.Millisecond)
				started := len(c.h.startedIDs())
				if reset {
					c.is.NoErr(c.conn.SetLinger(0))
				}
				c.is.NoErr(c.conn.Close())
				began := time.Now()
				c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
				c.is.True(time.Since(began) < 500*time.Millisecond)
				c.is.Equal(len(c.h.startedIDs()), started)
				c.is.Equal(c.h.count(func(h *testHandler) int { return h.running + h.open + h.charged }), 0)
			})
		}
	}
}

// Guards against a refusal that overtakes earlier responses, and against one that
// is lost because the connection is reset.
func TestUnreadableHeaderInTheMiddle(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"malformed": {"GARBAGE\r\n\r\n" + gets("x"), 400},
		"too large": {"GET / HTTP/1.1\r\nX-Large: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431},
		"slow":      {"GET / HTTP/1.1\r\nHost:", 408},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGates()
			c := connect(t, newTestHandler(g.script))
			c.send(gets("a", "b") + test.text)
			c.waitStarted(2)
			time.Sleep(c.h.limits.HeaderTimeout + 100*time.Millisecond)
			g.release("b", "a")
			c.expect("a", "b", fmt.Sprintf(":%d!", test.status))
			c.expectEnd(ReasonHeaderRefused)
		})
	}
}

// Guards against a refusal by the header that overtakes earlier responses or closes
// the connection without need, and against bytes of a body that are taken for a
// request.
func TestRefusalsByTheHeaderKeepTheirPlace(t *testing.T) {
	g := newGates()
	c := connect(t, newTestHandler(g.script))
	c.h.refuse = func(r *testRequest) *testReply {
		if strings.HasPrefix(r.id, "no") {
			return &testReply{status: 429}
		}
		return nil
	}
	c.send(gets("a") + request("POST", "no-1", "Content-Length: 3") + "xyz" + gets("b") + request("POST", "no-2", "Content-Length: 99999"))
	c.waitStarted(2)
	g.release("a", "b")
	c.expect("a", "no-1:429", "b", "no-2:429!")
	c.expectEnd(ReasonBodyUnread)
}

// Guards against an idle timeout that ends a connection with a slow request, and
// against one that does not count from the last response.
func TestIdleTimeoutNeedsNothingOutstanding(t *testing.T) {
	g := newGates()
	h := newTestHandler(g.script)
	h.limits.IdleTimeout = 200 * time.Millisecond
	c := connect(t, h)
	c.send(gets("a", "b"))
	c.waitStarted(2)
	time.Sleep(300 * time.Millisecond)
	c.set.CloseIdle(time.Now().Add(time.Hour), false)
	c.set.FollowIdleTimeout(time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	g.release("a", "b")
	c.expect("a", "b")
	began := time.Now()
	c.expectEnd(ReasonIdle)
	c.is.True(time.Since(began) > 150*time.Millisecond)
}

// Guards against the race in which a drain closes a connection on which a request
// has just begun to arrive, and against an idle connection that it leaves open.
func TestPendingRequestIsNotEnded(t *testing.T) {
	g := newGates()
	g.release("a")
	c := connect(t, newTestHandler(g.script))
	c.send("GET /a HTTP/1.1\r\nHost: h\r\n")
	c.waitFor("busy", func() bool { _, busy := c.set.Count(); return busy == 1 })
	c.set.CloseIdle(time.Now().Add(time.Hour), false)
	c.send("X-Id: a\r\n\r\n")
	c.expect("a")
	c.waitFor("idle", func() bool { _, busy := c.set.Count(); return busy == 0 })
	c.set.CloseIdle(time.Now(), false)
	c.expectEnd(ReasonLeaving)
}

// Guards against a drain that closes a new connection before its first request
// arrives.
func TestNewConnectionIsNotEnded(t *testing.T) {
	g := newGates()
	g.release("a")
	c := connect(t, newTestHandler(g.script))
	time.Sleep(20 * time.Millisecond)
	c.set.CloseIdle(time.Now(), false)
	c.send(gets("a"))
	c.expect("a")
}

// Guards against bodies that are read into memory, or invited, while earlier
// requests are unanswered, and against an upload that runs beside others.
func TestUploadAndContinueWaitForTheirTurn(t *testing.T) {
	g := newGates()
	h := newTestHandler(nil)
	h.script = func(r *testRequest, call *Call) *testReply {
		if r.rest != nil {
			rest, err := io.ReadAll(r.rest)
			return &testReply{body: fmt.Sprint(len(r.body)+len(rest), err)}
		}
		return g.script(r, call)
	}
	c := connect(t, h)
	c.send(gets("a") + request("GET", "b", "Expect: 100-continue", "Content-Length: 2"))
	c.waitStarted(1)
	_ = c.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.br.Peek(1)
	c.is.True(isTimeout(err))
	g.release("a", "b")
	c.expect("a")
	line, err := c.br.ReadString('\n')
	c.is.NoErr(err)
	c.is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = c.br.ReadString('\n')
	c.send("xy")
	c.expect("b")
	c.send(gets("c") + request("POST", "d", "Content-Length: 500000"))
	c.waitStarted(3)
	go func() { _, _ = io.WriteString(c.conn, strings.Repeat("x", 500_000)+gets("e")) }()
	time.Sleep(50 * time.Millisecond)
	g.release("c", "e")
	c.expect("c")
	r, err := c.receive()
	c.is.NoErr(err)
	c.is.Equal(r, received{200, "d", "500000 <nil>", true})
	c.expectEnd(ReasonStreamedUpload)
	c.is.Equal(c.h.startedIDs(), []string{"a", "b", "c", "d"})
}

// Guards against a part of a response that looks complete, and against requests
// behind it that go on.
func TestResponseThatBreaksOffResetsTheConnection(t *testing.T) {
	for _, length := range []int{1000, -1} {
		g := newGates()
		h := newTestHandler(nil)
		read, write := io.Pipe()
		h.script = func(r *testRequest, call *Call) *testReply {
			if r.id == "b" {
				return &testReply{body: "part", rest: read, restLength: length}
			}
			return g.script(r, call)
		}
		c := connect(t, h)
		c.send(gets("a", "b", "c", "d"))
		c.waitStarted(4)
		g.release("d")
		g.release("a")
		c.expect("a")
		go func() {
			_, _ = write.Write([]byte("more"))
			_ = write.CloseWithError(errors.New("target broke off"))
		}()
		r, err := c.receive()
		c.is.Equal(r.id, "b")
		c.is.True(err != nil)
		c.expectReleased(ReasonCutShort)
	}
}

// Guards against a large response that is written before its turn, or held in
// memory in full.
func TestLargeResponseIsStreamedInItsTurn(t *testing.T) {
	for _, length := range []int{500_000, -1} {
		g := newGates()
		h := newTestHandler(nil)
		h.script = func(r *testRequest, call *Call) *testReply {
			if r.id == "b" {
				return &testReply{body: "part", rest: strings.NewReader(strings.Repeat("x", 500_000)), restLength: length}
			}
			return g.script(r, call)
		}
		c := connect(t, h)
		c.send(gets("a", "b", "c"))
		c.waitStarted(3)
		g.release("c")
		c.waitFor("waiting bytes", func() bool { return c.set.WaitingBytes() == int64(len("part")+len("c")) })
		g.release("a")
		c.expect("a")
		r, err := c.receive()
		c.is.NoErr(err)
		c.is.True(r.body == "part"+strings.Repeat("x", 500_000))
		c.expect("c")
	}
}

// Guards against replies behind a slow one that hold memory without a bound, and
// against memory that is not counted.
func TestWaitingRepliesAreBounded(t *testing.T) {
	for name, overBudget := range map[string]bool{"connection": false, "process": true} {
		t.Run(name, func(t *testing.T) {
			const size = 100 << 10
			g := newGates()
			h := newTestHandler(nil)
			h.concurrency.Store(2)
			h.overBudget.Store(overBudget)
			h.script = func(r *testRequest, call *Call) *testReply {
				if r.id == "a" {
					return g.script(r, call)
				}
				return &testReply{body: strings.Repeat("x", size)}
			}
			c := connect(t, h)
			ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			c.send(gets(ids...))
			c.waitFor("requests", func() bool { return c.h.count(func(h *testHandler) int { return h.charged }) > 7*10 })
			time.Sleep(100 * time.Millisecond)
			limit := maxWaitingReplies/size + 1
			if overBudget {
				limit = 1
			}
			c.is.True(len(h.startedIDs()) <= 1+limit)
			c.is.Equal(c.set.WaitingBytes(), int64((len(h.startedIDs())-1)*size))
			c.is.True(h.count(func(h *testHandler) int { return h.charged }) >= int(c.set.WaitingBytes()))
			h.overBudget.Store(false)
			g.release("a")
			c.expect(ids...)
			c.is.NoErr(c.conn.CloseWrite())
			c.expectEnd(ReasonCallerClosed)
		})
	}
}

// Guards against a caller that sends without end and gets all of it held.
func TestReadAheadIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		size, limit int
	}{"number": {0, MaxOutstanding}, "bytes": {3000, readAheadBytes/3000 + 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			admitted := make(chan struct{}, 1000)
			h := newTestHandler(newGates().script)
			h.refuse = func(*testRequest) *testReply { admitted <- struct{}{}; return nil }
			caller := connect(t, h)
			go func() {
				for i := range 1000 {
					_, _ = io.WriteString(caller.conn, request("GET", fmt.Sprint(i), "X-Pad: "+strings.Repeat("x", c.size)))
				}
			}()
			time.Sleep(200 * time.Millisecond)
			is.True(len(admitted) > c.limit/2)
			is.True(len(admitted) <= c.limit)
		})
	}
}

// Guards against idle connections that cost more than one goroutine each.
func TestIdleConnectionHasOneGoroutine(t *testing.T) {
	g := newGates()
	g.release("a")
	before := runtime.NumGoroutine()
	for range 100 {
		c := connect(t, newTestHandler(g.script))
		c.send(gets("a", "a"))
		c.expect("a", "a")
	}
	time.Sleep(20 * time.Millisecond)
	if n := runtime.NumGoroutine() - before; n > 100+maxIdleWorkers+2 {
		t.Errorf("%d goroutines for 100 connections", n)
	}
}

// Guards against a panic that costs more than its connection.
func TestPanicEndsTheConnection(t *testing.T) {
	g := newGates()
	h := newTestHandler(nil)
	h.script = func(r *testRequest, call *Call) *testReply {
		if r.id == "b" {
			panic("test")
		}
		return g.script(r, call)
	}
	c := connect(t, h)
	c.send(gets("a", "b"))
	_, err := c.receive()
	c.is.True(err != nil)
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.is.Equal(h.ends, []Reason{ReasonPanic})
}

// Guards against a caller that does not read and keeps its requests running.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	h := newTestHandler(func(r *testRequest, _ *Call) *testReply { return &testReply{body: strings.Repeat("x", 200_000)} })
	c := connect(t, h)
	c.is.NoErr(c.conn.SetReadBuffer(4096))
	ids := make([]string, MaxOutstanding)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	c.send(gets(ids...))
	c.send(gets(ids...))
	time.Sleep(200 * time.Millisecond)
	c.is.True(c.set.WaitingBytes() < maxWaitingReplies+9*200_000)
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.expectReleased(ReasonWriteFailed)
}

// Guards against requests that are begun behind a reply that is passed on while it
// arrives: if it breaks off, their replies are lost with the connection.
func TestNothingBeginsBehindAStreamedReply(t *testing.T) {
	g := newGates()
	h := newTestHandler(nil)
	claimed := make(chan bool, 1)
	read, write := io.Pipe()
	h.script = func(r *testRequest, call *Call) *testReply {
		if r.id != "a" {
			return g.script(r, call)
		}
		claimed <- call.ClaimStream(false)
		return &testReply{body: "part", rest: read, restLength: 4}
	}
	c := connect(t, h)
	c.send(gets("a"))
	c.is.True(<-claimed)
	c.send(gets("b", "c"))
	time.Sleep(100 * time.Millisecond)
	c.is.Equal(h.startedIDs(), []string{"a"})
	g.release("b", "c")
	_, _ = write.Write([]byte("rest"))
	_ = write.Close()
	c.expect("a", "b", "c")
	c.is.Equal(h.sortedIDs(), []string{"a", "b", "c"})
}

// Guards against a reply that is streamed although others depend on its end, and
// against a wait for the turn that misses it or outlives the connection.
func TestRepliesBesideOthersWaitForTheirTurn(t *testing.T) {
	for _, disconnects := range []bool{false, true} {
		g := newGates()
		h := newTestHandler(nil)
		claimed, turns := make(chan bool, 2), make(chan bool, 2)
		h.script = func(r *testRequest, call *Call) *testReply {
			if r.id == "b" {
				claimed <- call.ClaimStream(false)
				turns <- call.AwaitTurn(20 * time.Millisecond)
				turns <- call.AwaitTurn(10 * time.Second)
			}
			return g.script(r, call)
		}
		c := connect(t, h)
		c.send(gets("a", "b"))
		c.is.True(!<-claimed)
		c.is.True(!<-turns)
		if disconnects {
			_ = c.conn.Close()
			c.is.True(!<-turns)
			c.expectReleased(ReasonCallerClosed)
			continue
		}
		g.release("a", "b")
		c.is.True(<-turns)
		c.expect("a", "b")
	}
}
