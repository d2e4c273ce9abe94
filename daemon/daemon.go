// Package daemon composes one entry instance from its settings.
//
// A Daemon goes through Provision, Validate, Start, Leave and Cleanup. One
// goroutine owns the control engine; the traffic engine is guarded by a mutex
// and used by all goroutines of requests.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/peer"
	"pistachioford.example/pistachioford/settings"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

// eventQueue bounds the events that wait for the control goroutine; messages
// beyond it are dropped, as on a network that loses them.
const eventQueue = 1024

// Daemon is one entry instance.
type Daemon struct {
	settings *settings.Settings
	platform tables.Platform
	self     entry.Self
	addresses

	certificates *peer.Certificates
	links        *peer.Links
	targets      *upstream.Pools
	peers        *upstream.Pools
	steer        *entry.Steer
	proxy        *entry.Proxy
	poller       *upstream.Poller
	callers      *entry.Server
	forward      *entry.Server
	operators    *entry.Server
	peerServer   *peer.Server

	view   atomic.Pointer[entry.View]
	events chan control.Event
	// tasks run on the control goroutine.
	tasks    chan func()
	departed chan struct{}
	stop     chan struct{}
	// running ends with Cleanup, and calls of the platform with it.
	running    context.Context
	endRunning context.CancelFunc
	stopped    atomic.Bool
	// closed is set once no more requests can arrive; only then may the last
	// request be the last.
	closed  atomic.Bool
	loops   conc.WaitGroup
	servers conc.WaitGroup
	calls   conc.WaitGroup

	// engine and blocks belong to the control goroutine once it runs.
	engine *control.Engine
	blocks *blocks.Table
	signs  upstreamSigns
}

// addresses are those in the settings, with the chosen ports where the
// settings leave them open.
type addresses struct{ callersAt, peerAt, forwardAt, operatorsAt string }

// New returns a Daemon that uses the given platform.
func New(s *settings.Settings, p tables.Platform) *Daemon {
	running, end := context.WithCancel(context.Background())
	return &Daemon{
		settings:   s,
		platform:   p,
		running:    running,
		endRunning: end,
		events:     make(chan control.Event, eventQueue),
		tasks:      make(chan func()),
		departed:   make(chan struct{}),
		stop:       make(chan struct{}),
	}
}

// Provision reads the certificates, opens the ports and builds the parts. After
// an error, Cleanup must still be called.
func (d *Daemon) Provision() error {
	// The suffix makes the identifier unique per process, as leases require.
	id := d.settings.Instance + "-" + uuid.NewString()[:8]
	d.view.Store(&entry.View{})
	if !d.settings.Plain {
		tls := d.settings.TLS
		loaded, err := peer.LoadCertificates(peer.Files{
			Certificate: tls.Certificate, Key: tls.Key, Authority: tls.Authority,
		})
		if err != nil {
			return eris.Wrap(err, "provision")
		}
		d.certificates = loaded
	}
	ports, err := d.listen()
	if err != nil {
		return eris.Wrap(err, "provision")
	}
	d.self = entry.Self{
		ID: id, Zone: d.settings.Zone, Region: d.settings.Region, Callers: d.callersAt,
	}
	d.buildTraffic()
	d.buildServers(ports)
	d.buildControl()
	return nil
}

// ports are the open listeners of an instance.
type ports struct{ callers, peer, forward, operators net.Listener }

func (d *Daemon) listen() (ports, error) {
	var p ports
	limit := d.settings.Limits.Connections
	at := d.settings.Addresses
	for _, port := range []struct {
		address  string
		listener *net.Listener
		actual   *string
	}{
		{at.Callers, &p.callers, &d.callersAt},
		{at.Peer, &p.peer, &d.peerAt},
		{at.Forward, &p.forward, &d.forwardAt},
		{at.Operators, &p.operators, &d.operatorsAt},
	} {
		opened, err := net.Listen("tcp", port.address)
		if err != nil {
			p.close()
			return ports{}, eris.Wrapf(err, "listen on %s", port.address)
		}
		*port.actual = opened.Addr().String()
		*port.listener = entry.Limit(opened, limit)
	}
	p.peer = d.certificates.Listen(peer.Count(p.peer))
	p.forward = d.certificates.Listen(p.forward)
	return p, nil
}

func (p ports) close() {
	for _, listener := range []net.Listener{p.callers, p.peer, p.forward, p.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) buildTraffic() {
	keys := idempotency.DefaultLimits
	if d.settings.Limits.KeyBytes > 0 {
		keys.Bytes = d.settings.Limits.KeyBytes
	}
	engine := traffic.New(traffic.Config{
		Self: traffic.InstanceID(d.self.ID), Zone: d.self.Zone, Region: d.self.Region,
		Seed: rand.Uint64(), Keys: keys,
	})
	d.links = peer.NewLinks(d.certificates)
	d.targets = upstream.NewPools(upstream.DialPlain)
	d.peers = upstream.NewPools(d.certificates.Dial)
	d.steer = entry.NewSteer(engine, d.targets, d.peers, broadcaster{d})
	d.proxy = entry.NewProxy(d.self, d.steer, &d.view, d.settings.Limits.BodyBytes)
	d.poller = upstream.NewPoller(d.reported)
}

func (d *Daemon) buildServers(p ports) {
	header := d.settings.Limits.HeaderBytes
	lookup := entry.NewLookup(d.self, &d.view)
	d.callers = entry.NewServer(p.callers, entry.CallerHandler(lookup, d.proxy), header)
	d.forward = entry.NewServer(p.forward, d.proxy.ServePeer, header)
	operators := entry.NewOperators(d.self, d.steer, &d.view)
	d.operators = entry.NewServer(p.operators, entry.OperatorHandler(operators), header)
	d.peerServer = peer.NewServer(p.peer, receiver{d})
}

func (d *Daemon) buildControl() {
	d.engine = control.New(control.Config{
		ID: control.InstanceID(d.self.ID), Zone: d.self.Zone, Region: d.self.Region,
		Address: d.peerAt, Caller: d.callersAt, Forward: d.forwardAt,
		Seeds: d.settings.Peers, Seed: rand.Uint64(), Start: time.Now(),
		Compile: document.Compile,
	})
}

// Validate checks what is known before the first document.
func (d *Daemon) Validate() error {
	switch {
	case d.engine == nil:
		return eris.New("validate: the daemon is not provisioned")
	case d.self.Zone == "" || d.self.Region == "":
		return eris.New("validate: zone and region must be set")
	case d.settings.Limits.HeaderBytes <= 0 || d.settings.Limits.BodyBytes < 0:
		return eris.New("validate: limits must be positive")
	}
	return nil
}

// Start serves until Leave or Cleanup. It does not wait for a document.
func (d *Daemon) Start() {
	d.serve("callers", d.callers.Serve)
	d.serve("forward", d.forward.Serve)
	d.serve("operators", d.operators.Serve)
	d.serve("peer", d.peerServer.Serve)
	d.loops.Go(d.controlLoop)
	d.loop(trafficTick, d.steer.Tick)
	d.loop(entry.WatchPeriod, d.steer.Watch)
	d.loop(hintPeriod, d.sendHints)
	d.loop(upstream.PollPeriod, d.poller.Poll)
	d.loops.Go(d.register)
	telemetry.Event("started",
		telemetry.F("instance", d.self.ID), telemetry.F("zone", d.self.Zone),
		telemetry.F("callers", d.callersAt), telemetry.F("peer", d.peerAt),
		telemetry.F("forward", d.forwardAt), telemetry.F("operators", d.operatorsAt))
}

// trafficTick is the period of the systems of the traffic engine.
const trafficTick = 10 * time.Millisecond

func (d *Daemon) serve(name string, serve func() error) {
	d.servers.Go(func() {
		if err := serve(); err != nil && !d.stopped.Load() {
			telemetry.Failure("server_ended", err, telemetry.F("instance", d.self.ID), telemetry.F("port", name))
		}
	})
}

// loop calls f periodically until the daemon stops.
func (d *Daemon) loop(period time.Duration, f func()) {
	d.loops.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-ticker.C:
				f()
			}
		}
	})
}

// Callers returns the address of the callers' port.
func (d *Daemon) Callers() string { return d.callersAt }

// Operators returns the address of the operators' port.
func (d *Daemon) Operators() string { return d.operatorsAt }

// View returns what the control side last published.
func (d *Daemon) View() *entry.View { return d.view.Load() }

// Peer returns the address of the peer port.
func (d *Daemon) Peer() string { return d.peerAt }
