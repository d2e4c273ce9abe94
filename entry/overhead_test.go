package entry

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Measures the requests per second of CPU time of the whole process, which
// contains the client, the upstream and, for the proxied requests, the instance.
// The target is a ratio of at least 0.4.
func BenchmarkProxyOverhead(b *testing.B) {
	const connections = 64
	body := strings.Repeat("x", 1024)
	address := startUpstream(b, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) })
	i := newInstance(b, "one", "a", "north", testDocument(b, false, address))
	client := &fasthttp.Client{MaxConnsPerHost: connections}
	direct, proxied := benchTarget{client: client, url: "http://" + address + "/reads/x"}, benchTarget{client: client, url: i.url("/reads/x")}
	for _, w := range []*benchTarget{&direct, &proxied} {
		w.run(b, connections, 2000) // warms up connections and estimates
		w.cpu, w.wall, w.requests = 0, 0, 0
	}
	b.ResetTimer()
	const rounds = 10 // alternating, so that other load on the machine affects both
	for range rounds {
		direct.run(b, connections, max(b.N/rounds, 200))
		proxied.run(b, connections, max(b.N/rounds, 200))
	}
	b.ReportMetric(proxied.perCore()/direct.perCore(), "ratio")
	b.ReportMetric(proxied.perCore(), "proxied_requests/s/core")
	b.ReportMetric(direct.perCore(), "direct_requests/s/core")
	b.ReportMetric(float64(direct.wall)/float64(proxied.wall), "wall_ratio")
}

// benchTarget is a URL to measure, with the totals of its requests.
type benchTarget struct {
	client    *fasthttp.Client
	url       string
	requests  int
	cpu, wall time.Duration
}

func (w *benchTarget) perCore() float64 { return float64(w.requests) / w.cpu.Seconds() }

func (w *benchTarget) run(b *testing.B, connections, requests int) {
	cpu, began := cpuTime(b), time.Now()
	var left atomic.Int64
	left.Store(int64(requests))
	var failed atomic.Int64
	var workers sync.WaitGroup
	for range connections {
		workers.Go(func() {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI(w.url)
			for left.Add(-1) >= 0 {
				if err := w.client.Do(request, response); err != nil || response.StatusCode() != 200 || len(response.Body()) != 1024 {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if failed.Load() > 0 {
		b.Fatalf("%d of %d requests failed", failed.Load(), requests)
	}
	w.cpu += cpuTime(b) - cpu
	w.wall += time.Since(began)
	w.requests += requests
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
