package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/httpread/framingtest"
	"pistachioford.example/pistachioford/linger"
	"pistachioford.example/pistachioford/linger/lingertest"
	"pistachioford.example/pistachioford/upstream"
)

// earlyResponder is a target that responds to the head of an upload, with a success
// and the bytes x, and then ends its connection. It serves GET requests soundly.
type earlyResponder struct {
	// framing is the field that delimits the body, or empty if only the end of the
	// connection does.
	framing string
	// interim precedes the response.
	interim string
	// sent is the length of the body, reads how much of the upload is read before
	// it is sent.
	sent, reads int
	// pause is the time between the response and the end.
	pause time.Duration
	end   connectionEnd
	// arrived counts the uploads.
	arrived atomic.Int32
}

// connectionEnd is how a target ends its connection.
type connectionEnd int

const (
	// regular ends the sending direction and reads the rest of the upload.
	regular connectionEnd = iota
	// reset resets the connection, which discards what is not delivered yet.
	reset
	// resetAfterDelivery resets the connection once the response has been delivered.
	resetAfterDelivery
	// regularThenReset ends the sending direction, and then resets the connection.
	regularThenReset
)

// listen serves connections until the end of the test. The receive buffer is small,
// so that the upload goes on while the target responds.
func (e *earlyResponder) listen(t testing.TB) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return lingertest.SetReceiveBuffer(raw, 32<<10)
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (e *earlyResponder) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	request, err := http.ReadRequest(br)
	for ; err == nil && request.Method == http.MethodGet; request, err = http.ReadRequest(br) {
		if !respondOK(conn, &receivedRequest{header: request.Header}) {
			return
		}
	}
	if err != nil {
		return
	}
	e.arrived.Add(1)
	if _, err := io.CopyN(io.Discard, request.Body, int64(e.reads)); err != nil {
		return
	}
	body := strings.Repeat("x", e.sent)
	if strings.HasSuffix(e.framing, "chunked\r\n") {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", e.sent, body)
	}
	head := e.interim + successHead(&receivedRequest{header: request.Header}) + e.framing + "\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		return
	}
	time.Sleep(e.pause)
	switch e.end {
	case regular:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	case reset:
		_ = conn.SetLinger(0)
	case resetAfterDelivery:
		framingtest.AwaitDelivery(conn)
		_ = conn.SetLinger(0)
	case regularThenReset:
		_ = conn.CloseWrite()
		framingtest.AwaitDelivery(conn)
		_ = conn.SetLinger(0)
	}
}

// immediateTurn is the turn of a response before which no other one is due.
type immediateTurn struct{}

func (immediateTurn) ClaimStream(bool) bool        { return true }
func (immediateTurn) AwaitTurn(time.Duration) bool { return true }

// upload sends a body of a size to address and reads the response, with the part
// that is passed on while it arrives.
func upload(address, method string, size int, chunked bool, budget *memoryBudget) (received []byte, out outcome) {
	content := bytes.Repeat([]byte("u"), size)
	buffered := min(size, maxBufferedBody)
	req := &outboundRequest{
		commonHead: fmt.Appendf(nil, "%s /upload/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nContent-Length: %d\r\n", method, size),
		id:         []byte("a"), isHead: method == "HEAD", deadline: time.Now().Add(10 * time.Second), turn: immediateTurn{},
		body: body{buffered: content[:buffered], length: size},
	}
	if buffered < size || chunked {
		req.body.rest = bytes.NewReader(content[buffered:])
	}
	if chunked {
		req.body.length = -1
		req.commonHead = fmt.Appendf(nil, "%s /upload/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\n", method)
	}
	x := &exchange{}
	out = x.do(newPools(budget), req, &steer.Send{Target: "i-1", Address: address})
	if out.response == nil {
		return nil, out
	}
	received = bytes.Clone(out.response.body)
	if out.response.rest != nil {
		var rest []byte
		rest, out.err = io.ReadAll(out.response.rest)
		received = append(received, rest...)
	}
	out.release()
	return received, out
}

// budgetOf returns, in turn, a budget that holds the first part of a response and one
// that has no room for more than a few bytes of it.
func budgetOf(i int) *memoryBudget {
	budget := newMemoryBudget(0)
	budget.limit *= i % 2
	return budget
}

// eachUpload runs check for uploads of all sizes in both framings.
func eachUpload(t *testing.T, name string, check func(is *is.I, size int, chunked bool)) {
	for _, size := range []int{60 << 10, 700 << 10, 6 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, %d bytes, chunked %t", name, size, chunked), func(t *testing.T) {
				t.Parallel()
				check(is.New(t), size, chunked)
			})
		}
	}
}

// Guards against a part of a body without length that looks complete. If the target
// resets the connection, the system reports that once: to the write of the upload,
// after which reads end as if the target had closed the connection regularly.
func TestResetDuringAnUploadIsNotTheEndOfTheResponse(t *testing.T) {
	const uploads = 6
	for _, sent := range []int{0, 10, 60 << 10, 300 << 10} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			for _, reads := range []int{0, 40 << 10} {
				name := fmt.Sprintf("%d bytes sent, pause %v, %d bytes read", sent, pause, reads)
				eachUpload(t, name, func(is *is.I, size int, chunked bool) {
					is.Helper()
					target := &earlyResponder{sent: sent, reads: reads, pause: pause, end: reset}
					address := target.listen(t)
					for i := range uploads {
						budget := budgetOf(i)
						_, out := upload(address, "POST", size, chunked, budget)
						is.True(out.err != nil && isReset(out.err)) // the response is not complete
						is.Equal(budget.held, 0)
					}
					is.Equal(target.arrived.Load(), int32(uploads))
				})
			}
		}
	}
}

// isReset reports whether an error is that of a reset. The runtime's poller reports a
// reset as "not pollable" to a read if it sees the error of the socket before the end.
func isReset(err error) bool {
	return breakCause(err) == steer.ClosedByTarget || strings.Contains(err.Error(), "not pollable")
}

// Guards against sound responses to uploads that are lost with the reset of a
// connection that no longer matters.
func TestEarlyResponseArrives(t *testing.T) {
	const uploads = 6
	type response struct {
		framing, interim, method string
		sent                     int
		end                      connectionEnd
	}
	responses := map[string]response{
		"HEAD, reset":    {method: "HEAD", end: resetAfterDelivery},
		"no body, reset": {method: "POST", framing: "Content-Length: 0\r\n", end: resetAfterDelivery},
	}
	for _, sent := range []int{10, 60 << 10, 300 << 10} {
		length := fmt.Sprintf("Content-Length: %d\r\n", sent)
		for name, r := range map[string]response{
			"without length":                {},
			"without length, then reset":    {end: regularThenReset},
			"length":                        {framing: length},
			"length, reset":                 {framing: length, end: resetAfterDelivery},
			"chunked":                       {framing: "Transfer-Encoding: chunked\r\n"},
			"chunked, reset":                {framing: "Transfer-Encoding: chunked\r\n", end: resetAfterDelivery},
			"without length, after interim": {interim: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
			"length, after interim, reset":  {framing: length, interim: "HTTP/1.1 100 Continue\r\n\r\n", end: resetAfterDelivery},
		} {
			r.method, r.sent = "POST", sent
			responses[fmt.Sprintf("%s, %d bytes sent", name, sent)] = r
		}
	}
	for name, r := range responses {
		eachUpload(t, name, func(is *is.I, size int, chunked bool) {
			is.Helper()
			target := &earlyResponder{framing: r.framing, interim: r.interim, sent: r.sent, end: r.end}
			address := target.listen(t)
			for i := range uploads {
				budget := budgetOf(i)
				received, out := upload(address, r.method, size, chunked, budget)
				is.NoErr(out.err)
				is.Equal(out.response.header.StatusCode(), 200)
				is.Equal(len(received), r.sent)
				is.Equal(budget.held, 0)
			}
		})
	}
}

// Guards against a reset that reaches callers as a complete success, whatever the
// kind of their request.
func TestCallersNeverGetAPartOfAnEarlyResponseAsComplete(t *testing.T) {
	const uploads = 6
	for _, sent := range []int{10, 300 << 10} {
		for _, path := range []string{"/upload/1", "/order/1", "/read/1"} {
			t.Run(fmt.Sprintf("%s, %d bytes sent", path, sent), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newSite(t)
				s.store.Put("op", "config", []byte(malformedDocument))
				target := &earlyResponder{sent: sent, pause: 60 * time.Millisecond, end: reset}
				address := target.listen(t)
				s.register("i-1", address, "ready", 1)
				g := s.startInstance("g")
				s.waitForTargets(g, 1)
				s.waitForDocument(g, 2)
				for attempts := 0; target.arrived.Load() < uploads; attempts++ {
					is.True(attempts < 4*uploads)
					// A sound response ends the suspicion against a target that broke off.
					s.waitFor("service", func() bool { return s.connect(g).do("GET", "/read/0", "").status == 200 })
					arrivedBefore := target.arrived.Load()
					resp := s.uploadWhole(g, path, 6<<20)
					hasRun := target.arrived.Load() > arrivedBefore
					// On a busy machine the deadline may pass.
					is.True(resp.err != nil || resp.status == 502 || resp.status == 504 || resp.status == 503 && !hasRun)
				}
			})
		}
	}
}

// uploadWhole sends a body and reads the response, which may come before the end of
// the body.
func (s *site) uploadWhole(g *Gateway, path string, size int) callerResponse {
	conn, err := net.Dial("tcp4", g.node.Requests)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", path, conn.LocalAddr(), size)
		_, _ = conn.Write(make([]byte, size))
	}()
	return (&caller{t: s.t, conn: conn, br: bufio.NewReader(conn)}).receive()
}

// dialTarget returns the two ends of a connection to a target that has sent a part
// of a response.
func dialTarget(t *testing.T) (conn *targetConn, target *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, _, err = newPools(newMemoryBudget(0)).dial(listener.Addr().String(), time.Second)
	is.NoErr(err)
	t.Cleanup(func() { closeQuietly(conn) })
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	_, err = io.WriteString(accepted, partOfResponse)
	is.NoErr(err)
	framingtest.AwaitDelivery(accepted)
	return conn, accepted.(*net.TCPConn)
}

const partOfResponse = "HTTP/1.1 200 OK\r\n\r\npart"

// writeUntilError returns the error with which a write ends.
func writeUntilError(conn *targetConn) error {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against an end of the connection that is taken for that of the response
// because a write got the error, and against one that is not taken for it although
// the target had ended the connection regularly.
func TestWriteErrorShowsHowTheConnectionEnded(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(conn *targetConn, target *net.TCPConn)
		errno syscall.Errno
		hides bool
	}{
		"reset": {func(_ *targetConn, target *net.TCPConn) {
			_ = target.SetLinger(0)
			_ = target.Close()
		}, syscall.ECONNRESET, true},
		"timeout": {func(conn *targetConn, _ *net.TCPConn) {
			_ = setUserTimeout(conn.raw, 100*time.Millisecond)
		}, syscall.ETIMEDOUT, true},
		"regular, then reset": {func(_ *targetConn, target *net.TCPConn) {
			_ = target.CloseWrite()
			framingtest.AwaitDelivery(target)
			_ = target.SetLinger(0)
			_ = target.Close()
		}, syscall.EPIPE, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, target := dialTarget(t)
			test.end(conn, target)
			err := writeUntilError(conn)
			is.True(errors.Is(err, test.errno))
			is.Equal(hidesReset(err), test.hides)
			received, err := io.ReadAll(conn.br)
			is.NoErr(err) // the end looks regular to the reader
			is.Equal(string(received), partOfResponse)
		})
	}
	for _, err := range []error{nil, os.ErrDeadlineExceeded, net.ErrClosed, errIncompleteBody, errUploadTooLarge} {
		is.New(t).True(!hidesReset(err))
	}
}

// Guards against a reset that a call other than a read or a write takes, after which
// nothing tells the reader that the end is not regular.
func TestObserversLeaveTheErrorToTheReader(t *testing.T) {
	is := is.New(t)
	conn, target := dialTarget(t)
	stop := conn.allowSlowReading(time.Now().Add(10 * time.Second))
	_ = target.SetLinger(0)
	_ = target.Close()
	for end := time.Now().Add(5 * time.Second); !upstream.ClosedByRemote(conn.Conn); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the reset arrives
	}
	_, err := conn.ackState(time.Now())
	is.NoErr(err)
	linger.LastSent(conn.Conn, time.Now())
	linger.LimitStall(conn.Conn)
	_ = conn.SetWriteDeadline(time.Unix(1, 0))
	_, err = conn.Write([]byte("u"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	stop()
	is.True(conn.endSlowReading())
	received, err := io.ReadAll(conn.br)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(string(received), partOfResponse)
}
