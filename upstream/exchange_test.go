package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/traffic"
)

// fake is an upstream over raw TCP. It runs serve for each connection and
// counts connections and request headers.
type fake struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

func startFake(t *testing.T, serve func(f *fake, conn net.Conn, r *bufio.Reader)) *fake {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.connections.Add(1)
			go func() {
				defer conn.Close()
				serve(f, conn, bufio.NewReader(conn))
			}()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return f
}

// request reads the header of one request and returns its path.
func (f *fake) request(r *bufio.Reader) (path string, ok bool) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", false
	}
	for {
		rest, err := r.ReadString('\n')
		if err != nil {
			return "", false
		}
		if rest == "\r\n" {
			f.requests.Add(1)
			return strings.Fields(line)[1], true
		}
	}
}

// script answers each request on a connection with the next text; a text that
// ends with "<close>" closes the connection.
func script(answers ...string) func(*fake, net.Conn, *bufio.Reader) {
	return func(f *fake, conn net.Conn, r *bufio.Reader) {
		for _, answer := range answers {
			if _, ok := f.request(r); !ok {
				return
			}
			text, closing := strings.CutSuffix(answer, "<close>")
			_, _ = io.WriteString(conn, text)
			if closing {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r)
	}
}

func get(p *Pool, path string, timeout time.Duration) Ending {
	var x Exchange
	return x.Do(p, header("GET", path, 0), Body{}, time.Now().Add(timeout), nil)
}

func header(method, path string, length int) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(method)
	h.SetRequestURI(path)
	h.SetHost("test")
	if length != 0 {
		h.SetContentLength(length)
	}
	return h
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a caller getting a part of an answer, the answer to another
// request, or a request that the client sent again by itself.
func TestAnswerIsWholeOrAnError(t *testing.T) {
	tests := []struct {
		name    string
		answers []string
		timeout time.Duration
		want    traffic.Result
		body    string
	}{
		{name: "whole", answers: []string{whole}, want: traffic.Completed, body: "ok"},
		{name: "chunked", answers: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, want: traffic.Completed, body: "ok"},
		{name: "interim first", answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + whole}, want: traffic.Completed, body: "ok"},
		{name: "no content", answers: []string{"HTTP/1.1 204 No Content\r\n\r\n"}, want: traffic.Completed},
		{name: "truncated body", answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok<close>"}, want: traffic.Broken},
		{name: "truncated chunk", answers: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok<close>"}, want: traffic.Broken},
		{name: "missing last chunk", answers: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n<close>"}, want: traffic.Broken},
		{name: "truncated header", answers: []string{"HTTP/1.1 200 OK\r\nContent-Le<close>"}, want: traffic.Broken},
		{name: "no framing", answers: []string{"HTTP/1.1 200 OK\r\n\r\nok<close>"}, want: traffic.Broken},
		{name: "closed without an answer", answers: []string{"<close>"}, want: traffic.Broken},
		{name: "not HTTP", answers: []string{"hello\r\n\r\n"}, timeout: 300 * time.Millisecond, want: traffic.Broken},
		{name: "late", answers: []string{""}, timeout: 100 * time.Millisecond, want: traffic.TimedOut},
		{name: "stalled body", answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"}, timeout: 100 * time.Millisecond, want: traffic.TimedOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, script(test.answers...))
			pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
			defer pool.Close()
			if test.timeout == 0 {
				test.timeout = 5 * time.Second
			}
			ending := get(pool, "/", test.timeout)
			is.Equal(ending.Result, test.want)
			is.Equal(f.requests.Load(), int32(1)) // sent exactly once
			if test.want == traffic.Completed {
				is.Equal(string(ending.Answer.Body), test.body)
				return
			}
			is.True(ending.Answer == nil)
			is.Equal(pool.host.IdleConnsCount(), 0) // a broken connection is not kept
		})
	}
}

// Guards against an answer that arrives after its exchange was given up, or
// without any request, reaching the next request on the connection.
func TestNoAnswerCrossesToAnotherRequest(t *testing.T) {
	echo := func(f *fake, conn net.Conn, r *bufio.Reader) {
		for {
			path, ok := f.request(r)
			if !ok {
				return
			}
			if path == "/late" {
				time.Sleep(200 * time.Millisecond)
			}
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + path[:5]
			if path == "/twice" {
				answer += answer
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
	for _, first := range []string{"/late", "/twice"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t, echo)
			pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
			defer pool.Close()
			get(pool, first, 100*time.Millisecond)
			time.Sleep(250 * time.Millisecond) // until the stray answer has arrived
			ending := get(pool, "/next", time.Second)
			is.Equal(ending.Result, traffic.Completed)
			is.Equal(string(ending.Answer.Body), "/next")
			is.Equal(f.connections.Load(), int32(2))
		})
	}
}

// Guards against a request on a connection that the upstream closed meanwhile:
// it would break, although it could run on a new connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := startFake(t, script(whole+"<close>"))
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	defer pool.Close()
	for range 3 {
		is.Equal(get(pool, "/", time.Second).Result, traffic.Completed)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a cancelled exchange that goes on, and against the reuse of
// its connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	f := startFake(t, func(f *fake, conn net.Conn, r *bufio.Reader) {
		f.request(r)
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	var x Exchange
	ended := make(chan Ending)
	go func() {
		ended <- x.Do(pool, header("GET", "/", 0), Body{}, time.Now().Add(10*time.Second), nil)
	}()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.Cancel()
	is.Equal((<-ended).Result, traffic.CanceledByCaller)
	<-closed
	is.Equal(pool.host.ConnsCount(), 0)
}

// Guards against "not sent" for a request of which a byte left, and against
// another result when none did.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	is.Equal(get(NewPool(address, 4, DialPlain), "/", time.Second).Result, traffic.NotSent)

	f := startFake(t, script(""))
	pool := NewPool(f.listener.Addr().String(), 1, DialPlain)
	go get(pool, "/", 500*time.Millisecond)
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(get(pool, "/", time.Second).Result, traffic.NotSent) // no free connection
	is.Equal(f.requests.Load(), int32(1))
}

// Guards against a large answer that is held in memory, or cut without an
// error.
func TestLargeAnswerIsStreamed(t *testing.T) {
	const size = MaxHeldBytes + 1
	for _, missing := range []int{0, 10} {
		is := is.New(t)
		f := startFake(t, func(f *fake, conn net.Conn, r *bufio.Reader) {
			f.request(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n")
			_, _ = io.WriteString(conn, strings.Repeat("x", size-missing))
		})
		pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
		var x Exchange
		ended := traffic.NotSent
		ending := x.Do(pool, header("GET", "/", 0), Body{}, time.Now().Add(5*time.Second), nil)
		is.True(ending.Answer.Stream != nil)
		ending.Answer.Stream.OnEnd = func(r traffic.Result) { ended = r }
		n, err := io.Copy(io.Discard, ending.Answer.Stream)
		is.NoErr(ending.Answer.Stream.Close())
		is.Equal(n, int64(size-missing))
		if missing == 0 {
			is.NoErr(err)
			is.Equal(ended, traffic.Completed)
		} else {
			is.True(err != nil)
			is.Equal(ended, traffic.Broken)
		}
	}
}

// Guards against an upload that is held back until it is complete, and against
// a caller's failure that counts as one of the upstream.
func TestUploadIsStreamed(t *testing.T) {
	is := is.New(t)
	arrived := make(chan string, 1)
	f := startFake(t, func(f *fake, conn net.Conn, r *bufio.Reader) {
		f.request(r)
		first := make([]byte, 5)
		_, _ = io.ReadFull(r, first)
		arrived <- string(first)
		rest := make([]byte, 5)
		if _, err := io.ReadFull(r, rest); err == nil {
			_, _ = io.WriteString(conn, whole)
		}
	})
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	for _, complete := range []bool{true, false} {
		reader, writer := io.Pipe()
		var x Exchange
		ended := make(chan Ending)
		go func() {
			body := Body{Held: []byte("ab"), Rest: reader, Length: 10}
			ended <- x.Do(pool, header("POST", "/", 10), body, time.Now().Add(5*time.Second), nil)
		}()
		_, _ = writer.Write([]byte("cde"))
		is.Equal(<-arrived, "abcde") // before the rest was sent
		if complete {
			_, _ = writer.Write([]byte("fghij"))
			is.Equal((<-ended).Result, traffic.Completed)
			continue
		}
		_ = writer.Close()
		is.Equal((<-ended).Result, traffic.CanceledByCaller)
	}
}
