package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/linger"
	"pistachioford.example/pistachioford/linger/lingertest"
)

// Guards against a stop that closes a connection while its caller still reads the
// responses that were written to it: the caller's next request resets the
// connection, and the responses are lost.
func TestShutdownWaitsForASlowCaller(t *testing.T) {
	is := is.New(t)
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 9000)) })
	i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	conn, err := lingertest.Dialer().Dial("tcp4", i.callers.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	const requests = 4
	request := "GET /reads/x HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(conn, strings.Repeat(request, requests))
	is.NoErr(err)
	time.Sleep(500 * time.Millisecond) // until all responses are written
	is.Equal(i.proxy.Active(), 0)
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { ended <- i.leave(ctx) }()
	time.Sleep(time.Second)
	// The caller has not seen yet that the connection ends.
	_, _ = io.WriteString(conn, request)
	time.Sleep(200 * time.Millisecond)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	br := bufio.NewReader(conn)
	for n := range requests {
		response, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(fmt.Sprint(n, len(body)), fmt.Sprint(n, 9000))
	}
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(<-ended)
}

// Guards against a caller that reads nothing of its response and keeps its
// connection without limit.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	is := is.New(t)
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", 8<<20)) })
	i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	conn, err := lingertest.Dialer().Dial("tcp4", i.callers.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /reads/x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(500 * time.Millisecond)
	is.Equal(i.callers.http.GetOpenConnectionsCount(), int32(1))
	for end := time.Now().Add(linger.StallTimeout + 5*time.Second); i.callers.http.GetOpenConnectionsCount() > 0; time.Sleep(50 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
