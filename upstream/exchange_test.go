package upstream

import (
	"bufio"
	"errors"
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

// fakeUpstream is an upstream over raw TCP that counts connections and request
// headers.
type fakeUpstream struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

// startFakeUpstream listens on loopback and runs serve for each connection.
func startFakeUpstream(t *testing.T, serve func(f *fakeUpstream, conn net.Conn, r *bufio.Reader)) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeUpstream{listener: listener}
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

// readRequest reads the header of one request and returns its path.
func (f *fakeUpstream) readRequest(r *bufio.Reader) (path string, ok bool) {
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

// scriptedResponses responds to each request on a connection with the next text;
// a text that ends with "<close>" closes the connection.
func scriptedResponses(responses ...string) func(*fakeUpstream, net.Conn, *bufio.Reader) {
	return func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
		for _, response := range responses {
			if _, ok := f.readRequest(r); !ok {
				return
			}
			text, closing := strings.CutSuffix(response, "<close>")
			_, _ = io.WriteString(conn, text)
			if closing {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r)
	}
}

func doGet(p *Pool, path string, timeout time.Duration) ExchangeResult {
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

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a caller that gets part of a response or the response to another
// request, and against a request that the client resends on its own.
func TestResponseIsCompleteOrError(t *testing.T) {
	tests := []struct {
		name      string
		responses []string
		timeout   time.Duration
		want      traffic.Result
		body      string
	}{
		{name: "whole", responses: []string{completeResponse}, want: traffic.Completed, body: "ok"},
		{name: "chunked", responses: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, want: traffic.Completed, body: "ok"},
		{name: "interim first", responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse}, want: traffic.Completed, body: "ok"},
		{name: "no content", responses: []string{"HTTP/1.1 204 No Content\r\n\r\n"}, want: traffic.Completed},
		{name: "truncated body", responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok<close>"}, want: traffic.Broken},
		{name: "truncated chunk", responses: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok<close>"}, want: traffic.Broken},
		{name: "missing last chunk", responses: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n<close>"}, want: traffic.Broken},
		{name: "truncated header", responses: []string{"HTTP/1.1 200 OK\r\nContent-Le<close>"}, want: traffic.Broken},
		{name: "no framing", responses: []string{"HTTP/1.1 200 OK\r\n\r\nok<close>"}, want: traffic.Malformed},
		{name: "closed without a response", responses: []string{"<close>"}, want: traffic.Broken},
		{name: "not HTTP", responses: []string{"hello\r\n\r\n"}, timeout: 300 * time.Millisecond, want: traffic.Malformed},
		{name: "damaged status", responses: []string{"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"}, want: traffic.Malformed},
		{name: "damaged name of a field", responses: []string{"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok"}, want: traffic.Malformed},
		{name: "damaged length", responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nok"}, want: traffic.Malformed},
		{name: "damaged chunk size", responses: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nok\r\n0\r\n\r\n"}, want: traffic.Malformed},
		{name: "damaged chunk", responses: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXY0\r\n\r\n"}, want: traffic.Malformed},
		{name: "late", responses: []string{""}, timeout: 100 * time.Millisecond, want: traffic.TimedOut},
		{name: "stalled body", responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"}, timeout: 100 * time.Millisecond, want: traffic.TimedOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFakeUpstream(t, scriptedResponses(test.responses...))
			pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
			defer pool.Close()
			if test.timeout == 0 {
				test.timeout = 5 * time.Second
			}
			result := doGet(pool, "/", test.timeout)
			is.Equal(result.Result, test.want)
			is.Equal(f.requests.Load(), int32(1)) // sent exactly once
			if test.want == traffic.Completed {
				is.Equal(string(result.Response.Body), test.body)
				return
			}
			is.True(result.Response == nil)
			is.Equal(pool.host.IdleConnsCount(), 0) // a broken connection is not kept
		})
	}
}

// Guards against a response that reaches the next request on its connection,
// after its own exchange was abandoned or because it arrived without a request.
func TestResponseNeverReachesAnotherRequest(t *testing.T) {
	echo := func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
		for {
			path, ok := f.readRequest(r)
			if !ok {
				return
			}
			if path == "/late" {
				time.Sleep(200 * time.Millisecond)
			}
			response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + path[:5]
			if path == "/twice" {
				response += response
			}
			_, _ = io.WriteString(conn, response)
		}
	}
	for _, first := range []string{"/late", "/twice"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			f := startFakeUpstream(t, echo)
			pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
			defer pool.Close()
			doGet(pool, first, 100*time.Millisecond)
			time.Sleep(250 * time.Millisecond) // until the stray response has arrived
			result := doGet(pool, "/next", time.Second)
			is.Equal(result.Result, traffic.Completed)
			is.Equal(string(result.Response.Body), "/next")
			is.Equal(f.connections.Load(), int32(2))
		})
	}
}

// Guards against a request on a connection that the upstream has closed in the
// meantime: it would fail, although it could run on a new connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := startFakeUpstream(t, scriptedResponses(completeResponse+"<close>"))
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	defer pool.Close()
	for range 3 {
		is.Equal(doGet(pool, "/", time.Second).Result, traffic.Completed)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a canceled exchange that goes on, and against the reuse of its
// connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	f := startFakeUpstream(t, func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
		f.readRequest(r)
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	var x Exchange
	ended := make(chan ExchangeResult)
	go func() {
		ended <- x.Do(pool, header("GET", "/", 0), Body{}, time.Now().Add(10*time.Second), nil)
	}()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.Cancel()
	is.Equal((<-ended).Result, traffic.Canceled)
	<-closed
	is.Equal(pool.host.ConnsCount(), 0)
}

// Guards against the result NotSent for a request of which a byte was sent, and
// against any other result if none was.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	is.Equal(doGet(NewPool(address, 4, DialPlain), "/", time.Second).Result, traffic.NotSent)

	f := startFakeUpstream(t, scriptedResponses(""))
	pool := NewPool(f.listener.Addr().String(), 1, DialPlain)
	go doGet(pool, "/", 500*time.Millisecond)
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(doGet(pool, "/", time.Second).Result, traffic.NotSent) // no free connection
	is.Equal(f.requests.Load(), int32(1))
}

// Guards against a large response that is held in memory, or truncated without an
// error.
func TestLargeResponseIsStreamed(t *testing.T) {
	const size = MaxBufferedBytes + 1
	for _, missing := range []int{0, 10} {
		is := is.New(t)
		f := startFakeUpstream(t, func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
			f.readRequest(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n")
			_, _ = io.WriteString(conn, strings.Repeat("x", size-missing))
		})
		pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
		var x Exchange
		ended := traffic.NotSent
		result := x.Do(pool, header("GET", "/", 0), Body{}, time.Now().Add(5*time.Second), nil)
		is.True(result.Response.Stream != nil)
		result.Response.Stream.OnClose = func(r traffic.Result) { ended = r }
		n, err := io.Copy(io.Discard, result.Response.Stream)
		is.NoErr(result.Response.Stream.Close())
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

// Guards against an upload that is held back until it is complete, and against a
// failure of the caller that is classified as one of the upstream.
func TestUploadIsStreamed(t *testing.T) {
	is := is.New(t)
	arrived := make(chan string, 1)
	// The connection stays open after a response: one that is closed without an
	// announcement could still be taken from the pool for the next request.
	f := startFakeUpstream(t, func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
		for {
			if _, ok := f.readRequest(r); !ok {
				return
			}
			first, rest := make([]byte, 5), make([]byte, 5)
			if _, err := io.ReadFull(r, first); err != nil {
				return
			}
			arrived <- string(first)
			if _, err := io.ReadFull(r, rest); err != nil {
				return
			}
			_, _ = io.WriteString(conn, completeResponse)
		}
	})
	pool := NewPool(f.listener.Addr().String(), 4, DialPlain)
	for _, complete := range []bool{true, false} {
		reader, writer := io.Pipe()
		var x Exchange
		ended := make(chan ExchangeResult, 1)
		go func() {
			body := Body{Buffered: []byte("ab"), Rest: reader, Length: 10}
			result := x.Do(pool, header("POST", "/", 10), body, time.Now().Add(5*time.Second), nil)
			_ = reader.CloseWithError(errExchangeEnded)
			ended <- result
		}()
		_, err := writer.Write([]byte("cde"))
		is.NoErr(err) // the exchange reads the body
		select {
		case first := <-arrived:
			is.Equal(first, "abcde") // before the rest was sent
		case result := <-ended:
			t.Fatalf("the exchange ended before the upload: %v, %v", result.Result, result.Err)
		}
		if complete {
			_, err = writer.Write([]byte("fghij"))
			is.NoErr(err)
			is.Equal((<-ended).Result, traffic.Completed)
			continue
		}
		_ = writer.Close()
		is.Equal((<-ended).Result, traffic.Canceled)
	}
}

// errExchangeEnded is what a caller's write returns after the exchange ended.
var errExchangeEnded = errors.New("the exchange has ended")
