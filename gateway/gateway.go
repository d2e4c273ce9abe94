// Package gateway serves callers on the users' platform: it reads requests,
// lets core/steer decide, and carries the decisions out.
package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// Gateway is one instance. Its life is Provision, Validate, Start, Leave and
// Cleanup, called in this order by one goroutine.
type Gateway struct {
	node    *platform.Node
	boot    int64
	client  *platform.Store
	store   *storeState
	metrics *metrics
	pools   *pools
	callers callers
	peers   *peers
	relays  *relays
	// documents and registry are how far the tables were followed.
	documents, registry *progress

	mu sync.Mutex
	// engine is guarded by mu.
	engine *steer.Engine

	document atomic.Pointer[steer.Document]
	leaving  atomic.Bool

	requests, readiness, lookups, counters, feeds net.Listener
	group                                         conc.WaitGroup
	// failed gets the first panic of a background goroutine.
	failed chan error
	ctx    context.Context
	stop   context.CancelFunc
}

// New returns an instance for a machine.
func New(node *platform.Node) *Gateway {
	g := &Gateway{
		node: node, boot: time.Now().UnixNano(), client: platform.NewStore(node.Store),
		documents: newProgress(), registry: newProgress(),
		store: &storeState{}, relays: newRelays(), metrics: newMetrics(), pools: newPools(),
		callers: callers{open: map[*callerConn]struct{}{}},
		failed:  make(chan error, 1),
		engine: steer.NewEngine(steer.Config{
			Self:  steer.Self{Name: node.Name, Zone: node.Zone, Region: node.Region},
			Zones: node.Zones,
			Retry: steer.RetryRule{
				Ratio: node.Bounds.RepeatRatio, Extra: node.Bounds.RepeatExtra, Window: node.Bounds.RepeatWindow,
			},
		}),
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.peers = newPeers(presence.Beat{
		Name: node.Name, Zone: node.Zone, Requests: node.Requests,
		Peers: peerAddress(node), Boot: g.boot, CPU: node.CPU, Link: node.Link,
	})
	return g
}

// Provision opens the listeners.
func (g *Gateway) Provision() error {
	var problems []error
	listen := func(address string) net.Listener {
		if address == "" {
			return nil
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			problems = append(problems, eris.Wrapf(err, "step=listen peer=%s", address))
		}
		return listener
	}
	g.requests = listen(g.node.Requests)
	g.readiness = listen(g.node.Readiness)
	g.lookups = listen(g.node.Lookups)
	g.counters = listen(g.node.Metrics)
	g.feeds = listen(peerAddress(g.node))
	problems = append(problems, g.peers.listen())
	return errors.Join(problems...)
}

// Start begins to serve.
func (g *Gateway) Start() {
	telemetry.Event("started", telemetry.F("instance", g.node.Name), telemetry.F("zone", g.node.Zone),
		telemetry.F("requests", g.node.Requests), telemetry.F("store", g.node.Store))
	g.background("accept", g.acceptCallers)
	g.serveSmall(g.readiness, g.handleReadiness)
	g.serveSmall(g.lookups, g.handleLookup)
	g.serveSmall(g.counters, g.metrics.handle)
	g.serveSmall(g.feeds, g.handleRelay)
	g.background("document", g.watchDocument)
	g.background("registry", g.watchRegistry)
	g.background("membership", g.keepMembership)
	g.background("heartbeats_sent", g.sendBeats)
	g.background("heartbeats_received", func() { g.peers.receive(g.hear) })
	g.background("standby", g.keepStandby)
	g.background("tick", g.tick)
}

// Failed returns the error after which the instance cannot go on. The process
// is to end then; the platform starts it again.
func (g *Gateway) Failed() <-chan error { return g.failed }

// background runs a part of the instance. Without it the rest would go on with
// old targets or documents, so a panic ends the instance.
func (g *Gateway) background(step string, run func()) {
	g.group.Go(func() {
		recovered := panics.Try(run)
		if recovered == nil {
			return
		}
		select {
		case g.failed <- eris.Wrapf(recovered.AsError(), "step=%s", step):
		default:
		}
	})
}

func (g *Gateway) acceptCallers() {
	for {
		conn, err := g.requests.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors may be used up; connections in use will free some.
			telemetry.Failure("accept", err)
			pause(g.ctx, acceptPause)
			continue
		}
		go g.serveCaller(conn)
	}
}

const (
	acceptPause = 50 * time.Millisecond
	// firstBodyBytes bounds a body before a document sets it.
	firstBodyBytes = 64 << 20
	// tickTime is how often idle connections and gone targets are swept.
	tickTime = 500 * time.Millisecond
)

// tick runs the periodic work that belongs to no request.
func (g *Gateway) tick() {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case now := <-ticker.C:
			g.pools.sweep(now)
			g.mu.Lock()
			g.engine.Tick(now)
			g.mu.Unlock()
		}
	}
}

// limits returns what callers may send.
func (g *Gateway) limits() steer.Limits {
	limits := steer.Limits{
		HeaderBytes: firstHeaderBytes, BodyBytes: firstBodyBytes, HeaderTimeout: firstHeader, IdleTimeout: firstIdle,
	}
	doc := g.document.Load()
	if doc == nil {
		return limits
	}
	if doc.Limits.HeaderBytes > 0 {
		limits.HeaderBytes = doc.Limits.HeaderBytes
	}
	if doc.Limits.BodyBytes > 0 {
		limits.BodyBytes = doc.Limits.BodyBytes
	}
	if doc.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = doc.Limits.HeaderTimeout
	}
	if doc.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = doc.Limits.IdleTimeout
	}
	return limits
}

func (g *Gateway) callersEnded() bool {
	g.callers.mu.Lock()
	defer g.callers.mu.Unlock()
	return g.callers.ended
}

// ready tells whether the instance can serve requests.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.document.Load() != nil && g.store.sawRegistry()
}

const (
	// leaveQuiet is how long callers may still open connections after the
	// instance left the lookups: they keep answers for some time.
	leaveQuiet = 2500 * time.Millisecond
	// leaveMargin is kept from the time at which the process is killed.
	leaveMargin = 500 * time.Millisecond
	// leavePoll is how often a drain looks for requests in flight.
	leavePoll = 50 * time.Millisecond
)

// Leave drains the instance: it leaves the lookups, answers what arrives, and
// returns once nothing is in flight.
func (g *Gateway) Leave() {
	began := time.Now()
	g.leaving.Store(true)
	telemetry.Event("leaving", telemetry.F("instance", g.node.Name))
	g.beat()
	g.background("leave", g.leaveMembership)
	end := began.Add(g.node.Bounds.Grace - leaveMargin)
	for time.Now().Before(end) {
		time.Sleep(leavePoll)
		if time.Since(began) < leaveQuiet {
			continue
		}
		g.callers.endIdle()
		// A connection that is not yet closed may have begun a request.
		if open, _ := g.callers.count(); open == 0 {
			break
		}
	}
	open, busy := g.callers.count()
	telemetry.Event("left", telemetry.F("instance", g.node.Name), telemetry.F("open", open), telemetry.F("busy", busy))
}

// Cleanup closes everything. It does not wait for requests.
func (g *Gateway) Cleanup() {
	g.stop()
	for _, listener := range []net.Listener{g.requests, g.readiness, g.lookups, g.counters, g.feeds} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	g.peers.close()
}

// pause waits; it ends early with the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
