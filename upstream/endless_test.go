package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against an upstream that takes an instance's memory with a response that
// does not end: in a head, an interim response, a chunk, an extension, a trailer
// or a body whose caller does not read.
func TestEndlessResponsesTakeLittleMemory(t *testing.T) {
	const (
		maxGrowth = 48 << 20
		parallel  = 100
	)
	const head = "HTTP/1.1 200 OK\r\n"
	const chunked = head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string][2]string{
		"fields":     {head, "A: b\r\n"},
		"interim":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"length":     {head + "Content-Length: 99999999999\r\n\r\n", "xxxxxxxx"},
		"chunks":     {chunked, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"chunk size": {chunked, "00000000"},
		"extensions": {chunked, "1;a=b;a=b;a=b;a=b;a=b;a=b;a=b\r\nx\r\n"},
		"trailer":    {chunked + "0\r\n", "A: b\r\n"},
		"no length":  {head + "\r\n", "xxxxxxxx"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data := []byte(text[1])
			for len(data) < 16<<10 {
				data = append(data, data...)
			}
			f := startFakeUpstream(t, func(f *fakeUpstream, conn net.Conn, r *bufio.Reader) {
				if _, ok := f.readRequest(r); !ok {
					return
				}
				_, err := io.WriteString(conn, text[0])
				for err == nil {
					_, err = conn.Write(data)
				}
			})
			pool := NewPool(f.listener.Addr().String(), parallel, DialPlain)
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			results := make([]ExchangeResult, parallel)
			var group sync.WaitGroup
			for i := range parallel {
				group.Go(func() {
					header := &fasthttp.RequestHeader{}
					header.SetRequestURI(fmt.Sprintf("/%d", i))
					header.SetHost("h")
					results[i] = (&Exchange{}).Do(pool, header, Body{}, time.Now().Add(2*time.Second), nil)
				})
			}
			group.Wait()
			runtime.GC()
			runtime.ReadMemStats(&after)
			grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			t.Logf("%d responses hold %d KiB", parallel, grown>>10)
			is.True(grown <= maxGrowth)
			for _, result := range results {
				if result.Response != nil {
					is.True(result.Response.Stream != nil)
					_ = result.Response.Stream.Close()
				}
			}
		})
	}
}
