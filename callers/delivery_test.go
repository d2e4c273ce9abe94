package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"pistachioford.example/pistachioford/linger"
	"pistachioford.example/pistachioford/linger/lingertest"
)

// slowResponse is the size of the responses that slow callers get. Several of them
// do not fit into the receive buffer of connectSlow.
const slowResponse = 9000

// connectSlow opens a connection whose caller has a small receive buffer, so that
// responses that it does not read wait on the other side.
func connectSlow(t *testing.T, h *testHandler) *testCaller {
	t.Helper()
	return connectWith(t, h, lingertest.Dialer())
}

// newSlowHandler responds to each request with slowResponse bytes.
func newSlowHandler() *testHandler {
	return newTestHandler(func(*testRequest, *Call) *testReply { return &testReply{body: strings.Repeat("x", slowResponse)} })
}

// waitWritten waits until nothing is outstanding: all responses were written.
func (c *testCaller) waitWritten(started int) {
	c.t.Helper()
	c.waitStarted(started)
	c.waitFor("written responses", func() bool { _, busy := c.set.Count(); return busy == 0 })
}

// Guards against a connection that is closed while its caller still reads the
// responses that were written to it: the caller's next request meets the closed
// socket, which resets the connection and loses them (review/6).
func TestEndOfAConnectionWaitsForASlowCaller(t *testing.T) {
	for name, end := range map[string]struct {
		begin  func(c *testCaller)
		last   string
		reason Reason
	}{
		"planned stop": {func(c *testCaller) {
			c.h.leaving.Store(true)
			c.send(gets("e"))
		}, "e!", ReasonLeaving},
		"close requested": {func(c *testCaller) { c.send(request("GET", "e", "Connection: close")) }, "e!", ReasonCloseRequested},
		"refused header":  {func(c *testCaller) { c.send("\x00\r\n\r\n") }, ":400!", ReasonHeaderRefused},
		"drain": {func(c *testCaller) {
			c.h.leaving.Store(true)
			c.set.CloseIdle(time.Now(), true)
		}, "f!", ReasonLeaving},
		"end of a drain": {func(c *testCaller) { c.set.CloseIdle(time.Now(), false) }, "", ReasonLeaving},
		"idle timeout":   {func(c *testCaller) { c.set.FollowIdleTimeout(time.Millisecond) }, "f", ReasonIdle},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSlowHandler()
			c := connectSlow(t, h)
			c.send(gets("a", "b", "c", "d"))
			c.waitWritten(4)
			if end.reason == ReasonIdle {
				h.idleTimeout.Store(int64(time.Millisecond))
			}
			end.begin(c)
			time.Sleep(3 * quietBefore)
			// The caller has not seen yet that the connection ends.
			_, _ = io.WriteString(c.conn, gets("f"))
			time.Sleep(quietBefore)
			c.expect("a", "b", "c", "d")
			if end.last != "" {
				c.expect(end.last)
			}
			c.expectEnd(end.reason)
		})
	}
}

// quietBefore is for how long a connection used to be kept after its last response.
const quietBefore = 300 * time.Millisecond

// Guards against the reset after a response that breaks off, which used to lose
// the complete responses before it if their caller was still reading them.
func TestResponseThatBreaksOffKeepsThoseBeforeIt(t *testing.T) {
	for _, length := range []int{1000, -1} {
		h := newSlowHandler()
		whole := h.script
		h.script = func(r *testRequest, call *Call) *testReply {
			if r.id != "e" {
				return whole(r, call)
			}
			return &testReply{body: "part", rest: io.MultiReader(strings.NewReader("more"), failingReader{}), restLength: length}
		}
		c := connectSlow(t, h)
		c.send(gets("a", "b", "c", "d", "e"))
		c.waitStarted(5)
		time.Sleep(3 * quietBefore)
		c.expect("a", "b", "c", "d")
		r, err := c.receive()
		c.is.True(err != nil)
		c.is.Equal(r.id, "e")
		c.expectReleased(ReasonCutShort)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("target broke off") }

// Guards against a panic that takes the responses before it along, which were
// written and not received.
func TestPanicKeepsTheResponsesBeforeIt(t *testing.T) {
	h := newSlowHandler()
	whole := h.script
	h.script = func(r *testRequest, call *Call) *testReply {
		if r.id == "e" {
			panic("test")
		}
		return whole(r, call)
	}
	c := connectSlow(t, h)
	c.send(gets("a", "b", "c", "d"))
	c.waitWritten(4)
	c.send(gets("e", "f"))
	time.Sleep(3 * quietBefore)
	c.expect("a", "b", "c", "d")
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.is.Equal(h.ends, []Reason{ReasonPanic})
}

// Guards against an idle timeout that counts from the writing of a response: its
// caller counts from the end of the response and sends its next request later.
func TestIdleTimeoutCountsFromTheReceipt(t *testing.T) {
	h := newSlowHandler()
	h.limits.IdleTimeout = 1500 * time.Millisecond
	c := connectSlow(t, h)
	c.send(gets("a", "b", "c", "d"))
	c.waitWritten(4)
	time.Sleep(time.Second)
	c.expect("a", "b", "c", "d")
	time.Sleep(h.limits.IdleTimeout * 4 / 5)
	c.send(gets("e"))
	c.expect("e")
	began := time.Now()
	c.expectEnd(ReasonIdle)
	c.is.True(time.Since(began) < 3*time.Second)
}

// Guards against a limit on the time for a whole response: a caller that reads
// steadily gets it, however long that takes.
func TestSteadyCallerGetsALargeResponse(t *testing.T) {
	const size = 128 << 10
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("streamed=%t", streamed), func(t *testing.T) {
			t.Parallel()
			h := newTestHandler(func(*testRequest, *Call) *testReply {
				if streamed {
					return &testReply{rest: strings.NewReader(strings.Repeat("x", size)), restLength: size}
				}
				return &testReply{body: strings.Repeat("x", size)}
			})
			c := connectSlow(t, h)
			c.shrinkSendBuffer(8 << 10)
			c.send(gets("a"))
			c.br = bufio.NewReader(lingertest.SlowReader{Conn: c.conn, Rate: 16 << 10})
			r, err := c.receiveWithin(30 * time.Second)
			c.is.NoErr(err)
			c.is.Equal(len(r.body), size)
		})
	}
}

// shrinkSendBuffer makes the send buffer as small as it is on links.
func (c *testCaller) shrinkSendBuffer(size int) {
	c.t.Helper()
	if err := c.far.SetWriteBuffer(size); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a caller that reads nothing and keeps its connection after the
// last response.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	h := newSlowHandler()
	c := connectSlow(t, h)
	h.leaving.Store(true)
	c.send(gets("a"))
	c.waitWritten(1)
	c.send(gets("b"))
	began := time.Now()
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.is.True(time.Since(began) < 8*time.Second)
	c.expectReleased(ReasonLeaving)
	c.is.Equal(h.outcomes, []linger.Outcome{linger.Stalled})
}

// Guards against a caller that is counted as one that does not read although it has
// disconnected.
func TestDisconnectDuringAWriteIsNoStall(t *testing.T) {
	h := newTestHandler(func(*testRequest, *Call) *testReply { return &testReply{body: strings.Repeat("x", 8<<20)} })
	c := connectSlow(t, h)
	c.send(gets("a"))
	c.waitStarted(1)
	time.Sleep(100 * time.Millisecond)
	c.is.NoErr(c.conn.SetLinger(0))
	_ = c.conn.Close()
	c.waitFor("end", func() bool { open, _ := c.set.Count(); return open == 0 })
	c.is.Equal(len(h.outcomes), 0)
}
