package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// do sends a request on a connection of its own, without keep-alive.
func do(t *testing.T, method, url string, body io.Reader, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// Guards against responses that leave the outcome of a request unclear to its
// caller.
func TestOutcomes(t *testing.T) {
	var runs atomic.Int32
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/orders/break":
			runs.Add(1)
			_ = ctx.Conn().Close()
		case "/reads/shed":
			ctx.SetStatusCode(503)
		default:
			ctx.Response.Header.Set(upstream.HeaderOutcome, "forged")
			ctx.Response.Header.Add("Set-Cookie", "a=1")
			ctx.Response.Header.Add("Set-Cookie", "b=2")
			ctx.SetBodyString("hello")
		}
	})
	one := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	empty := newInstance(t, "empty", "a", "north", nil)
	tests := []struct {
		name, method, url string
		headers           []string
		status            int
		outcome, reason   string
	}{
		{name: "responded", url: one.url("/reads/x"), status: 200},
		{name: "not sent twice", method: "POST", url: one.url("/orders/break"), status: 504, outcome: "unknown", reason: "broken"},
		{name: "shed", url: one.url("/reads/shed"), status: 503, outcome: "not-run", reason: "attempts"},
		{name: "no service", url: one.url("/other"), status: 503, outcome: "not-run", reason: "no_service"},
		{name: "no document", url: empty.url("/reads/x"), status: 503, outcome: "not-run", reason: "no_document"},
		{name: "bad key", method: "POST", url: one.url("/orders/x"), headers: []string{headerIdempotencyKey, "nozone.0." + newKey(t)}, status: 400, outcome: "bad-key", reason: "bad_key"},
		{name: "deadline passed", url: one.url("/reads/x"), headers: []string{upstream.HeaderDeadline, "1"}, status: 503, outcome: "not-run", reason: "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			response, body := do(t, test.method, test.url, nil, test.headers...)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(upstream.HeaderOutcome), test.outcome)
			is.Equal(response.Header.Get(upstream.HeaderReason), test.reason)
			is.Equal(response.Header.Get("Retry-After") != "", test.outcome == "not-run")
			if test.status == 200 {
				is.Equal(body, "hello")
				is.Equal(len(response.Header.Values("Set-Cookie")), 2)
			}
		})
	}
	is.New(t).Equal(runs.Load(), int32(1)) // an order whose connection broke was sent only once
}

// Guards against a keyed request that runs twice, and against a replay of its
// response to another request with the same key.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		runs.Add(1)
		ctx.SetStatusCode(201)
		ctx.SetBodyString("order 1")
	})
	i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	key := "a.0." + newKey(t)
	for n := range 2 {
		response, body := do(t, "POST", i.url("/orders/x"), strings.NewReader("coal"), headerIdempotencyKey, key)
		is.Equal(response.StatusCode, 201)
		is.Equal(body, "order 1")
		is.Equal(response.Header.Get(headerReplayed) == "true", n == 1)
	}
	response, _ := do(t, "POST", i.url("/orders/x"), strings.NewReader("wood"), headerIdempotencyKey, key)
	is.Equal(response.StatusCode, 422)
	is.Equal(runs.Load(), int32(1))
}

// Guards against requests that are lost or changed when a peer forwards them,
// and against callers that pose as peers.
func TestForwarding(t *testing.T) {
	is := is.New(t)
	seen := make(chan *fasthttp.RequestHeader, 1)
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		kept := &fasthttp.RequestHeader{}
		ctx.Request.Header.CopyTo(kept)
		seen <- kept
		ctx.SetBody(ctx.Request.Body())
	})
	doc := testDocument(t, true, address)
	near := newInstance(t, "near", "a", "north", doc)
	far := newInstance(t, "far", "b", "north", doc)
	zone, _ := zoneByName(doc, "b")
	near.steer.SetPeers([]traffic.PeerInfo{{ID: "far", Zone: zone, Shards: shardIDs(allShards(doc, "b"))}},
		map[traffic.InstanceID]string{"far": far.forward.Address()})

	for n, size := range []int{0, 1000, 300 << 10, 1000, 300 << 10} {
		var sent io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
		if n >= 3 {
			sent = struct{ io.Reader }{sent} // sent in chunks
		}
		response, body := do(t, "POST", near.url("/reads/a%20b?q=1"), sent, headerFrom, "forged", "X-Own", "kept")
		is.Equal(response.Header.Get(upstream.HeaderReason), "")
		is.Equal(response.StatusCode, 200)
		is.Equal(len(body), size)
		is.Equal(response.Header.Get(headerAttempts), "")
		got := <-seen
		is.Equal(string(got.RequestURI()), "/reads/a%20b?q=1")
		is.Equal(string(got.Peek("X-Own")), "kept")
		is.Equal(string(got.Peek(headerFrom)), "")
		is.True(!callerDeadline(got).IsZero())
	}
}

// Guards against a shutdown that aborts an upload, buffered or streamed, which
// has partly arrived.
func TestShutdownFinishesUploads(t *testing.T) {
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) })
	for _, size := range []int{1000, 200 << 10} {
		is := is.New(t)
		i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
		conn, err := net.Dial("tcp", i.callers.Address())
		is.NoErr(err)
		defer conn.Close()
		payload := bytes.Repeat([]byte("y"), size)
		request, _ := http.NewRequest("POST", i.url("/orders/x"), bytes.NewReader(payload))
		var wire bytes.Buffer
		is.NoErr(request.Write(&wire))
		half := wire.Len() - size/2
		_, err = conn.Write(wire.Bytes()[:half])
		is.NoErr(err)
		for i.proxy.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		ended := make(chan error, 1)
		go func() { ended <- i.leave(context.Background()) }()
		time.Sleep(150 * time.Millisecond) // until the listener is closed
		_, err = conn.Write(wire.Bytes()[half:])
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), request)
		is.NoErr(err)
		is.Equal(response.StatusCode, 200)
		is.True(response.Close) // Connection: close
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(body), size)
		is.NoErr(<-ended)
	}
}

// Guards against an exchange that goes on after its caller has disconnected.
func TestDisconnectCancelsTheExchange(t *testing.T) {
	is := is.New(t)
	listener := loopback(t)
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	i := newInstance(t, "one", "a", "north", testDocument(t, false, listener.Addr().String()))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "GET", i.url("/reads/x"), nil)
	_, err := http.DefaultClient.Do(request)
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(time.Second): // the deadline of the service is 2 s
		t.Fatal("the exchange was not canceled")
	}
}

// Guards against lookups that list instances which must not be used.
func TestLookup(t *testing.T) {
	is := is.New(t)
	doc := testDocument(t, false, "127.0.0.1:1")
	i := newInstance(t, "one", "a", "north", doc)
	peers := []control.Peer{
		{ID: "far", Zone: "b", Region: "south", CallerAddress: "127.0.0.1:2", Shards: shardIDs(allShards(doc, "b"))},
		{ID: "leaving", Zone: "a", Region: "north", CallerAddress: "127.0.0.1:3", Leaving: true},
		{ID: "cut off", Zone: "b", Region: "south", CallerAddress: "127.0.0.1:4", Unreachable: true},
		{ID: "spare", Zone: "a", Region: "north", CallerAddress: "127.0.0.1:5"},
	}
	held := []control.HeldShard{{Shard: allShards(doc, "a")[1].Shard}}
	for _, leaving := range []bool{false, true} {
		i.view.Store(&View{Document: doc, Peers: peers, Held: held, Leaving: leaving})
		response, body := do(t, "GET", i.url(LookupPath+"?client=10.0.0.1"), nil)
		is.Equal(response.StatusCode, 200)
		var lookup LookupResponse
		is.NoErr(json.Unmarshal([]byte(body), &lookup))
		is.Equal(lookup.TTLSeconds, 10)
		is.Equal(lookup.Revision, uint64(1))
		if leaving {
			is.Equal(lookup.KeyPrefix, "b.0")
			is.Equal(len(lookup.Entries), 2)
			continue
		}
		is.Equal(lookup.KeyPrefix, "a.1")
		is.Equal(lookup.Entries, []LookupEntry{
			{Address: "", Zone: "a", Region: "north"},
			{Address: "127.0.0.1:2", Zone: "b", Region: "south"},
			{Address: "127.0.0.1:5", Zone: "a", Region: "north"},
		})
	}
	response, _ := do(t, "GET", i.url(LookupPath+"?client=none"), nil)
	is.Equal(response.StatusCode, 400)
}

// Guards against a large response that reaches the caller truncated but without
// an error, and against a wrong Content-Length in the response to HEAD.
func TestLargeResponses(t *testing.T) {
	const size = upstream.MaxBufferedBytes + 10
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/reads/whole":
			ctx.SetBody(make([]byte, size))
		case "/reads/chunked":
			ctx.SetBodyStream(bytes.NewReader(make([]byte, size)), -1)
		case "/reads/broken":
			ctx.Response.Header.SetContentLength(size)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1048586\r\n\r\n")
				_, _ = conn.Write(make([]byte, size/2))
			})
		}
	})
	i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	for _, path := range []string{"/reads/whole", "/reads/chunked"} {
		is := is.New(t)
		response, body := do(t, "GET", i.url(path), nil)
		is.Equal(response.StatusCode, 200)
		is.Equal(len(body), size)
	}
	is := is.New(t)
	response, err := http.Get(i.url("/reads/broken"))
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	head, _ := do(t, "HEAD", i.url("/reads/whole"), nil)
	is.Equal(head.ContentLength, int64(size))
	for i.steer.InFlight() > 0 { // the slots are free again
		time.Sleep(time.Millisecond)
	}
}

// Guards against unbounded memory use and against one caller that takes all
// connections.
func TestLimits(t *testing.T) {
	is := is.New(t)
	i := newInstance(t, "one", "a", "north", testDocument(t, false, "127.0.0.1:1"))
	response, _ := do(t, "GET", i.url("/reads/x"), nil, "X-Large", strings.Repeat("x", 17<<10))
	is.Equal(response.StatusCode, 431)
	large, err := net.Dial("tcp", i.callers.Address())
	is.NoErr(err)
	defer large.Close()
	_, err = io.WriteString(large, "POST /orders/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\nx")
	is.NoErr(err)
	response, err = http.ReadResponse(bufio.NewReader(large), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 413)

	limited := Limit(loopback(t), 1)
	defer limited.Close()
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("x"))
		}
	}()
	for n := range 2 {
		conn, err := net.Dial("tcp", limited.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
		is.Equal(err == nil, n == 0)
	}
}

// fixedSites puts every client at one site.
type fixedSites struct{ site document.SiteID }

func (f fixedSites) Locate(netip.Addr) (document.SiteID, bool) { return f.site, true }

// Guards against requests that are treated as local although the caller's home
// region is another one.
func TestHomeRegion(t *testing.T) {
	is := is.New(t)
	doc := &document.Compiled{
		Regions: []document.Region{{Name: "north"}, {Name: "south"}},
		Zones:   []document.Zone{{Name: "a"}, {Name: "c", Region: 1}},
		Sites:   []document.Site{{Name: "s", Zone: 1}},
	}
	client := netip.MustParseAddr("10.0.0.1")
	is.Equal((&View{Document: doc}).homeRegion(client), -1)
	is.Equal((&View{Document: doc, Sites: fixedSites{0}}).homeRegion(client), 1)
	is.Equal((&View{Document: doc, Sites: fixedSites{9}}).homeRegion(client), -1)
}

// Guards against a planned stop that resets connections which callers have just
// opened. The load: callers open a connection for each request, without a pause.
func TestShutdownAnswersEveryOpenedConnection(t *testing.T) {
	is := is.New(t)
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	for range 5 {
		i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var answered atomic.Int32
		for range 16 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp4", i.callers.Address(), time.Second)
					if err != nil {
						// Refused: the caller tries another instance.
						time.Sleep(time.Millisecond)
						continue
					}
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					_, err = io.WriteString(conn, "GET /reads/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
					if err == nil {
						_, err = http.ReadResponse(bufio.NewReader(conn), nil)
					}
					if err != nil {
						t.Error(err)
					}
					answered.Add(1)
					_ = conn.Close()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		is.NoErr(i.leave(ctx))
		cancel()
		close(stop)
		callers.Wait()
		is.True(answered.Load() > 16)
	}
}
