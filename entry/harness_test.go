package entry

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/upstream"
)

// instance is an entry instance on loopback without a control goroutine.
type instance struct {
	steer   *Steer
	proxy   *Proxy
	view    atomic.Pointer[View]
	callers *Server
	forward *Server
	stop    chan struct{}
}

type discardBroadcaster struct{}

func (discardBroadcaster) Poison(traffic.BroadcastPoison)   {}
func (discardBroadcaster) Leaving(traffic.BroadcastLeaving) {}

const testBodyLimit = 64 << 20

// newInstance starts an instance that holds all shards of its zone.
func newInstance(t testing.TB, id, zone, region string, doc *document.Compiled) *instance {
	t.Helper()
	engine := traffic.New(traffic.Config{Self: traffic.InstanceID(id), Zone: zone, Region: region, Seed: 1})
	i := &instance{stop: make(chan struct{})}
	i.steer = NewSteer(engine, upstream.NewPools(upstream.DialPlain), upstream.NewPools(upstream.DialPlain), discardBroadcaster{})
	self := Self{ID: id, Zone: zone, Region: region}
	i.proxy = NewProxy(self, i.steer, &i.view, testBodyLimit)
	i.view.Store(&View{Document: doc})
	i.callers = NewServer(Limit(loopback(t), 4096), CallerHandler(NewLookup(self, &i.view), i.proxy), 16<<10)
	i.forward = NewServer(Limit(loopback(t), 4096), i.proxy.ServePeer, 16<<10)
	if doc != nil {
		i.steer.SetDocument(doc)
		i.steer.SetShards(allShards(doc, zone), time.Now().Add(time.Hour))
	}
	go func() { _ = i.callers.Serve() }()
	go func() { _ = i.forward.Serve() }()
	go i.tick()
	t.Cleanup(i.close)
	return i
}

func (i *instance) tick() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-i.stop:
			return
		case <-ticker.C:
			i.steer.Tick()
			i.steer.Watch()
		}
	}
}

func (i *instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = i.callers.Shutdown(ctx)
	_ = i.forward.Shutdown(ctx)
	close(i.stop)
}

// leave shuts down the callers' port in the same order as the daemon does.
func (i *instance) leave(ctx context.Context) error {
	i.view.Store(&View{Document: i.view.Load().Document, Leaving: true})
	i.steer.Handle(traffic.Draining{})
	return i.callers.Shutdown(ctx)
}

func (i *instance) url(path string) string { return "http://" + i.callers.Address() + path }

func loopback(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func allShards(doc *document.Compiled, zone string) []traffic.HeldShard {
	id, ok := zoneByName(doc, zone)
	if !ok {
		return nil
	}
	var held []traffic.HeldShard
	for n := range doc.Zones[id].Shards {
		held = append(held, traffic.HeldShard{
			Shard: document.ShardID{Zone: id, Index: n}, OwnedSince: time.Now().Add(-2 * time.Hour),
		})
	}
	return held
}

// testDocument has the zones a and b in one region and c in another. The targets
// are in zone b if inZoneB is set, otherwise in zone a.
func testDocument(t testing.TB, inZoneB bool, addresses ...string) *document.Compiled {
	t.Helper()
	var text strings.Builder
	text.WriteString(`
[[region]]
name = "north"
[[region]]
name = "south"
[[zone]]
name = "a"
region = "north"
[[zone]]
name = "b"
region = "north"
[[zone]]
name = "c"
region = "south"
[[link]]
from = "north"
to = "south"
budget = "400MB/s"
delay = "1ms"
[[link]]
from = "south"
to = "north"
budget = "400MB/s"
delay = "1ms"
[[group]]
name = "g"
shed_statuses = [503]
[[service]]
name = "reads"
path_prefix = "/reads"
group = "g"
priority = "urgent"
deadline = "2s"
idempotent = true
[[service]]
name = "orders"
path_prefix = "/orders"
group = "g"
priority = "normal"
deadline = "2s"
idempotent = false
`)
	zone := "a"
	if inZoneB {
		zone = "b"
	}
	for i, address := range addresses {
		fmt.Fprintf(&text, "[[target]]\nname = \"t%d\"\ngroup = \"g\"\nzone = %q\naddress = %q\nslots = 64\n", i, zone, address)
	}
	doc, err := document.Compile(1, []document.Section{{Name: "test", Text: text.String()}})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// startUpstream serves a handler on loopback and returns its address.
func startUpstream(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := loopback(t)
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: testBodyLimit, NoDefaultDate: true, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
	})
	return listener.Addr().String()
}
