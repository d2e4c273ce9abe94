package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// rawUpstream responds to the next request with a given text, to all others with
// a sound response, and closes each connection.
type rawUpstream struct {
	next *atomic.Pointer[string]
	runs *atomic.Int32
}

func (u rawUpstream) start(t *testing.T) (address string) {
	listener := loopback(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (u rawUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	u.runs.Add(1)
	text := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	if next := u.next.Swap(nil); next != nil {
		text = *next
	}
	_, _ = io.WriteString(conn, text)
}

// malformedForms are responses that no upstream can have meant.
var malformedForms = map[string]string{
	"not HTTP":              "hello\r\n\r\n",
	"name of the protocol":  "HTTQ/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version":               "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"status":                "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
	"name of a field":       "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
	"status 000":            "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"interim status":        "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"control byte":          "HTTP/1.1 200 OK\r\nX-\x01A: b\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":   "HTTP/1.1 200 OK\r\nX-A: b\r\n X-B: c\r\nContent-Length: 2\r\n\r\nok",
	"blank in a trailer":    "HTTP/1.1 200 OK\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n X-A: b\r\n\r\n",
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 02\r\n\r\nok",
	"shorter length":        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nok",
	"no length":             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	"size of a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nok\r\n0\r\n\r\n",
	"digit of a chunk size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ng\r\nok\r\n0\r\n\r\n",
	"line end of a chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXY0\r\n\r\n",
	"end of the chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\r\n",
}

// Guards against a success of another upstream, in the zone or through a peer,
// after an upstream sent bytes that cannot be its response, and against a retry
// that is missing after an upstream broke off.
func TestOnlyBrokenOffResponseIsRetried(t *testing.T) {
	u := rawUpstream{&atomic.Pointer[string]{}, &atomic.Int32{}}
	addresses := []string{u.start(t), u.start(t), u.start(t)}
	local := newInstance(t, "one", "a", "north", testDocument(t, false, addresses...))
	doc := testDocument(t, true, addresses...)
	near, far := newInstance(t, "near", "a", "north", doc), newInstance(t, "far", "b", "north", doc)
	zone, _ := zoneByName(doc, "b")
	near.steer.SetPeers([]traffic.PeerInfo{{ID: "far", Zone: zone, Shards: shardIDs(allShards(doc, "b"))}},
		map[traffic.InstanceID]string{"far": far.forward.Address()})

	kinds := map[string]struct {
		entry        *instance
		method, path string
		body         string
		headers      []string
		retried      bool
	}{
		"idempotent":            {local, "GET", "/reads/%d", "", nil, true},
		"idempotent, body":      {local, "PUT", "/reads/%d", "body", nil, true},
		"idempotent, forwarded": {near, "GET", "/reads/%d", "", nil, true},
		"idempotent, streamed":  {local, "PUT", "/reads/%d", strings.Repeat("b", 1<<20), nil, false},
		"not idempotent":        {local, "POST", "/orders/%d", "one pallet", nil, false},
		"with a key":            {local, "POST", "/orders/%d", "one pallet", []string{headerIdempotencyKey, "a.0.%s"}, false},
	}
	serial := 0
	send := func(is *is.I, kind, form string) (*http.Response, int) {
		is.Helper()
		c := kinds[kind]
		// Sound responses end the suspicion against upstreams that failed before.
		for range 6 {
			serial++
			resp, _ := do(t, "GET", c.entry.url(fmt.Sprintf("/reads/%d", serial)), nil)
			is.Equal(resp.StatusCode, 200)
		}
		serial++
		var headers []string
		for _, value := range c.headers {
			headers = append(headers, strings.ReplaceAll(value, "%s", newKey(t)))
		}
		u.runs.Store(0)
		u.next.Store(&form)
		resp, _ := do(t, c.method, c.entry.url(fmt.Sprintf(c.path, serial)), strings.NewReader(c.body), headers...)
		return resp, int(u.runs.Load())
	}
	for kind, c := range kinds {
		for form, text := range malformedForms {
			t.Run("malformed, "+kind+", "+form, func(t *testing.T) {
				is := is.New(t)
				resp, runs := send(is, kind, text)
				is.Equal(resp.StatusCode, 504)
				is.Equal(resp.Header.Get(upstream.HeaderOutcome), upstream.OutcomeUnknown)
				is.Equal(resp.Header.Get(upstream.HeaderReason), traffic.ReasonMalformed.String())
				is.Equal(runs, 1)
			})
		}
		for form, text := range map[string]string{
			"nothing":         "",
			"in the head":     "HTTP/1.1 200 OK\r\nContent-Le",
			"in a body":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
			"between chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
			"before the last": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		} {
			t.Run("broken off, "+kind+", "+form, func(t *testing.T) {
				is := is.New(t)
				resp, runs := send(is, kind, text)
				is.Equal(resp.StatusCode == 200, c.retried)
				is.Equal(runs == 2, c.retried)
			})
		}
	}
}

// Guards against a request that fails though its upstream was never reached, so
// that it cannot have run.
func TestUnreachedUpstreamIsReplaced(t *testing.T) {
	u := rawUpstream{&atomic.Pointer[string]{}, &atomic.Int32{}}
	closed := loopback(t)
	_ = closed.Close()
	i := newInstance(t, "one", "a", "north", testDocument(t, false, closed.Addr().String(), u.start(t)))
	for _, request := range [][2]string{{"GET", "/reads/%d"}, {"PUT", "/reads/%d"}, {"POST", "/orders/%d"}} {
		for n := range 8 {
			is := is.New(t)
			u.runs.Store(0)
			resp, _ := do(t, request[0], i.url(fmt.Sprintf(request[1], n)), strings.NewReader("body"))
			is.Equal(resp.StatusCode, 200)
			is.Equal(u.runs.Load(), int32(1))
		}
	}
}

// Guards against a large response that looks complete, or is replaced by another
// one, after a malformed part.
func TestMalformedPartOfAStreamIsNotRetried(t *testing.T) {
	u := rawUpstream{&atomic.Pointer[string]{}, &atomic.Int32{}}
	i := newInstance(t, "one", "a", "north", testDocument(t, false, u.start(t), u.start(t)))
	part := fmt.Sprintf("%x\r\n%s\r\n", 2<<20, strings.Repeat("x", 2<<20))
	for _, end := range []string{"g\r\nok\r\n0\r\n\r\n", "0\r\nX\r\n", "0\r\n\r\nXY"} {
		is := is.New(t)
		form := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + part + end
		u.runs.Store(0)
		u.next.Store(&form)
		resp, err := http.Get(i.url("/reads/x"))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.True(err != nil) // the connection ends before the response
		_ = resp.Body.Close()
		is.Equal(u.runs.Load(), int32(1))
	}
}
