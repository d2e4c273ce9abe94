// Package gateway is the HTTP gateway that runs on the users' platform. It
// reads the requests of callers, lets core/steer choose a target for each,
// forwards them and returns the responses.
package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/callers"
	"pistachioford.example/pistachioford/listeners"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// Gateway is one instance. Its life cycle is Provision, Start, Drain and
// Cleanup, called in this order by one goroutine.
type Gateway struct {
	node        *platform.Node
	boot        int64
	storeClient *platform.Store
	storeState  *storeState
	metrics     *metrics
	admissions  *admissions
	usage       *usage
	pools       *pools
	callers     *callers.Set
	connMetrics *connMetrics
	peers       *peers
	relays      *relays
	// operatorProgress and registryProgress record how far the two feeds of the
	// store were read.
	operatorProgress, registryProgress *progress
	// restores receives a signal when the store has come back from a copy, for
	// the rows of instances.
	restores chan struct{}

	mu sync.Mutex
	// engine is guarded by mu; withEngine also handles panics.
	engine       *steer.Engine
	engineConfig steer.Config
	// delays holds the requests that wait for room at their targets. resumeDue is
	// set while a timer is to decide on them again. Both are guarded by mu.
	delays    map[*steer.Request]*delay
	resumeDue bool

	document atomic.Pointer[steer.Document]
	leaving  atomic.Bool
	// verdictsKnown is set once this instance knows which requests the others
	// refuse since they crash targets.
	verdictsKnown atomic.Bool
	// hasRelay is set while this instance follows the document from another one.
	hasRelay atomic.Bool
	// concurrency is the number of requests of one connection that run at the same
	// time.
	concurrency atomic.Int32
	// announcedReady is set once the others were told that this instance is ready.
	announcedReady atomic.Bool
	// drain is set during a planned stop.
	drain atomic.Pointer[steer.DrainPlan]

	// acceptEnded is closed when acceptCallers returns.
	acceptEnded chan struct{}

	requestListener, readinessListener, lookupListener, metricsListener, relayListener net.Listener

	group conc.WaitGroup
	// failed receives the first panic of a background goroutine.
	failed chan error
	ctx    context.Context
	stop   context.CancelFunc
}

// New returns an instance that runs on the machine described by node.
func New(node *platform.Node) *Gateway {
	engineConfig := steer.Config{
		Self:  steer.Self{Name: node.Name, Zone: node.Zone, Region: node.Region},
		Zones: node.Zones, ReportInterval: node.HeartbeatInterval,
		Retry: steer.RetryRule{
			Ratio: node.Bounds.RetryRatio, Extra: node.Bounds.RetryExtra, Window: node.Bounds.RetryWindow,
		},
	}
	g := &Gateway{
		node: node, boot: time.Now().UnixNano(), storeClient: platform.NewStore(node.Store),
		operatorProgress: newProgress(), registryProgress: newProgress(), restores: make(chan struct{}, 1),
		storeState: newStoreState(), relays: newRelays(), metrics: newMetrics(), admissions: newAdmissions(), usage: newUsage(node), pools: newPools(newMemoryBudget(node.MemoryMB)),
		connMetrics: newConnMetrics(),
		failed:      make(chan error, 1), acceptEnded: make(chan struct{}),
		engine: steer.NewEngine(engineConfig), engineConfig: engineConfig, delays: map[*steer.Request]*delay{},
	}
	g.callers = callers.NewSet(callerHandler{g}, endingLimits(node.MaxDescriptors, node.MemoryMB))
	g.concurrency.Store(maxConcurrency)
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.peers = newPeers(presence.Heartbeat{
		Name: node.Name, Zone: node.Zone, RequestAddr: node.Requests,
		PeerAddr: peerAddress(node), Boot: g.boot, MilliCPU: node.MilliCPU, LinkMbps: node.LinkMbps,
	})
	return g
}

// Provision opens the listeners.
func (g *Gateway) Provision() error {
	var errs []error
	listen := func(address string) net.Listener {
		if address == "" {
			return nil
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			errs = append(errs, eris.Wrapf(err, "step=listen peer=%s", address))
		}
		return listener
	}
	g.requestListener = listen(g.node.Requests)
	g.readinessListener = listen(g.node.Readiness)
	g.lookupListener = listen(g.node.Lookups)
	g.metricsListener = listen(g.node.Metrics)
	g.relayListener = listen(peerAddress(g.node))
	errs = append(errs, g.peers.listen())
	return errors.Join(errs...)
}

// Start starts the background goroutines and begins to serve.
func (g *Gateway) Start() {
	telemetry.Event("started", telemetry.F("instance", g.node.Name), telemetry.F("zone", g.node.Zone),
		telemetry.F("requests", g.node.Requests), telemetry.F("store", g.node.Store))
	g.background("accept", g.acceptCallers)
	g.serveAuxiliary(g.readinessListener, g.handleReadiness)
	g.serveAuxiliary(g.lookupListener, g.handleLookup)
	g.serveAuxiliary(g.metricsListener, g.handleMetrics)
	g.serveAuxiliary(g.relayListener, g.handleRelay)
	g.background("document", g.watchDocument)
	g.background("registry", g.watchRegistry)
	g.background("membership", g.maintainMembership)
	g.background("heartbeats_sent", g.sendHeartbeats)
	g.background("heartbeats_received", func() { g.peers.receive(g.handleHeartbeatGuarded) })
	g.background("standby", g.maintainStandby)
	g.background("poison", g.maintainVerdicts)
	g.background("borrow_tokens", g.borrowTokens)
	g.background("tick", g.tick)
}

// Failed returns a channel that receives the error after which the instance
// cannot continue. The process must exit then; the platform restarts it.
func (g *Gateway) Failed() <-chan error { return g.failed }

// background runs one part of the instance in a goroutine. A panic in it is
// sent to failed and ends the instance, since the other parts would go on with
// outdated targets or documents.
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
	defer close(g.acceptEnded)
	for {
		conn, err := g.requestListener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || isTimeout(err):
			return
		case err != nil:
			telemetry.Failure("accept", err)
			if isOutOfDescriptors(err) && g.callers.Reclaim() {
				continue
			}
			// Connections that close free descriptors.
			pause(g.ctx, acceptRetryDelay)
		default:
			g.callers.Serve(conn)
		}
	}
}

func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// stopAccepting closes the listener for requests. Connections that callers have
// begun to open before are served, also those that were not accepted yet: closing
// the listener would reset them.
func (g *Gateway) stopAccepting() {
	listener, ok := g.requestListener.(*net.TCPListener)
	if !ok {
		return
	}
	listeners.FinishHandshakes(g.ctx, listener)
	// Ends acceptCallers.
	_ = listener.SetDeadline(time.Unix(1, 0))
	<-g.acceptEnded
	for _, conn := range acceptPending(listener) {
		g.callers.Serve(conn)
	}
	_ = listener.Close()
}

const (
	acceptRetryDelay = 50 * time.Millisecond
	// defaultMaxBodyBytes limits a request body until a document sets the
	// limit.
	defaultMaxBodyBytes = 64 << 20
	// tickInterval is how often expired idle connections are closed and the
	// engine runs its periodic work, such as the removal of expired targets.
	tickInterval = 500 * time.Millisecond
)

// tick runs the periodic work that is not tied to a request.
func (g *Gateway) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case now := <-ticker.C:
			g.pools.sweep(now)
			var changes []steer.NoticeChange
			var verdicts []poison.Change
			g.guard("tick", func() {
				g.withEngine(func(e *steer.Engine) {
					e.Tick(now)
					g.concurrency.Store(int32(concurrencyFor(e.Overload(now))))
					changes, verdicts = e.TakeNoticeChanges(), e.Poison().TakeChanges()
				})
			})
			g.guard("caps", func() { g.logCapChanges(now) })
			g.logNotices(changes)
			g.logVerdicts(verdicts)
		}
	}
}

// limits returns the limits on callers' requests: those of the active document,
// or the defaults where it sets none.
func (g *Gateway) limits() steer.Limits {
	limits := steer.Limits{
		HeaderBytes: defaultMaxHeaderBytes, BodyBytes: defaultMaxBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
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

// ready reports whether the instance can serve requests.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.document.Load() != nil && g.storeState.hasRegistry()
}

const (
	// minDrainTime is the least time for which a drain accepts connections.
	// Callers still open some after lookups stop returning the instance, since
	// they cache the results.
	minDrainTime = 2500 * time.Millisecond
	// drainMargin is the time left between the end of a drain and the time at
	// which the platform kills the process.
	drainMargin = 500 * time.Millisecond
	// lastDeliveryTime is the time before the end of a drain from which on idle
	// connections close although their callers still receive a response, so that
	// they need not receive a further one.
	lastDeliveryTime = 1500 * time.Millisecond
	// drainPollInterval is how often a drain checks for open connections.
	drainPollInterval = 50 * time.Millisecond
)

// Drain takes the instance out of service: lookups stop returning it, while
// requests that still arrive are served, at the end only those that can be
// served in time. Drain returns once no caller's connection is open, at the
// latest shortly before the platform's grace period ends.
func (g *Gateway) Drain() {
	began := time.Now()
	end := began.Add(g.node.Bounds.Grace - drainMargin)
	g.drain.Store(&steer.DrainPlan{RedirectedAt: began.Add(minDrainTime), EndsAt: end})
	g.leaving.Store(true)
	telemetry.Event("leaving", telemetry.F("instance", g.node.Name))
	g.sendHeartbeat()
	g.background("leave", g.removeMember)
	pause(g.ctx, min(minDrainTime, time.Until(end)))
	g.stopAccepting()
	for time.Now().Before(end) {
		g.callers.CloseIdle(time.Now(), time.Until(end) > lastDeliveryTime)
		// An open connection may have just begun a request, so the drain waits
		// for all of them and not only for busy ones.
		if open, _ := g.callers.Count(); open == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	open, busy := g.callers.Count()
	_, unreceived := g.callers.Ending()
	telemetry.Event("left", telemetry.F("instance", g.node.Name), telemetry.F("open", open), telemetry.F("busy", busy),
		telemetry.F("unreceived_bytes", unreceived))
}

// Cleanup stops the background goroutines and closes the listeners. It does not
// wait for requests.
func (g *Gateway) Cleanup() {
	g.stop()
	for _, listener := range []net.Listener{g.requestListener, g.readinessListener, g.lookupListener,
		g.metricsListener, g.relayListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	g.peers.close()
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
