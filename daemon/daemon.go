// Package daemon composes one entry instance from its settings.
//
// A Daemon goes through Provision, Validate, Start, Drain and Cleanup. A single
// goroutine owns the control engine. The traffic engine is shared by all
// request goroutines and guarded by a mutex.
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

// eventQueueSize bounds the events that wait for the control goroutine. Peer
// messages that find the queue full are dropped; the control protocol tolerates
// lost messages.
const eventQueueSize = 1024

// Daemon runs one entry instance.
type Daemon struct {
	settings *settings.Settings
	platform tables.Platform
	self     entry.Self
	addresses

	certificates *peer.Certificates
	links        *peer.Links
	targetPools  *upstream.Pools
	peerPools    *upstream.Pools
	steer        *entry.Steer
	proxy        *entry.Proxy
	poller       *upstream.Poller
	callers      *entry.Server
	forward      *entry.Server
	operators    *entry.Server
	peerServer   *peer.Server

	view   atomic.Pointer[entry.View]
	events chan control.Event
	// tasks holds functions to run on the control goroutine.
	tasks chan func()
	// departed is closed when the control engine has given up all shards.
	departed chan struct{}
	// stop is closed by Cleanup and ends the background loops.
	stop chan struct{}
	// ctx is the parent of the platform calls; Cleanup cancels it.
	ctx    context.Context
	cancel context.CancelFunc
	// stopped is set when the shutdown of the servers begins; their errors are
	// not logged from then on.
	stopped atomic.Bool
	// portsClosed is set once no more requests can arrive. Until then a leaving
	// instance must not report that it has no requests in flight.
	portsClosed   atomic.Bool
	loops         conc.WaitGroup
	servers       conc.WaitGroup
	platformCalls conc.WaitGroup

	// engine and blocks are used only by the control goroutine once it runs.
	engine  *control.Engine
	blocks  *blocks.Table
	leaving leavingTracker
}

// addresses holds the listening addresses. A port 0 in the settings is replaced
// by the port that the system chose.
type addresses struct{ callersAddr, peerAddr, forwardAddr, operatorsAddr string }

// New returns a Daemon with the given settings that uses the platform p.
func New(s *settings.Settings, p tables.Platform) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	return &Daemon{
		settings: s,
		platform: p,
		ctx:      ctx,
		cancel:   cancel,
		events:   make(chan control.Event, eventQueueSize),
		tasks:    make(chan func()),
		departed: make(chan struct{}),
		stop:     make(chan struct{}),
	}
}

// Provision reads the certificates, opens the ports and builds the servers and
// engines. Cleanup must be called even after an error.
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
	opened, err := d.listen()
	if err != nil {
		return eris.Wrap(err, "provision")
	}
	d.self = entry.Self{
		ID: id, Zone: d.settings.Zone, Region: d.settings.Region, Callers: d.callersAddr,
	}
	d.buildTrafficPath()
	d.buildServers(opened)
	d.buildControlEngine()
	return nil
}

// listeners holds the open listeners of an instance.
type listeners struct{ callers, peer, forward, operators net.Listener }

// listen opens all ports. The peer and forward listeners use mTLS unless the
// settings turn TLS off.
func (d *Daemon) listen() (listeners, error) {
	var l listeners
	limit := d.settings.Limits.Connections
	configured := d.settings.Addresses
	for _, port := range []struct {
		address  string
		listener *net.Listener
		actual   *string
	}{
		{configured.Callers, &l.callers, &d.callersAddr},
		{configured.Peer, &l.peer, &d.peerAddr},
		{configured.Forward, &l.forward, &d.forwardAddr},
		{configured.Operators, &l.operators, &d.operatorsAddr},
	} {
		opened, err := net.Listen("tcp", port.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrapf(err, "listen on %s", port.address)
		}
		*port.actual = opened.Addr().String()
		*port.listener = entry.Limit(opened, limit)
	}
	l.peer = d.certificates.WrapListener(peer.CountBytes(l.peer))
	l.forward = d.certificates.WrapListener(l.forward)
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peer, l.forward, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// buildTrafficPath creates the traffic engine, the links and pools for peers and
// targets, and what handles requests between them.
func (d *Daemon) buildTrafficPath() {
	keyLimits := idempotency.DefaultLimits
	if d.settings.Limits.KeyBytes > 0 {
		keyLimits.Bytes = d.settings.Limits.KeyBytes
	}
	engine := traffic.New(traffic.Config{
		Self: traffic.InstanceID(d.self.ID), Zone: d.self.Zone, Region: d.self.Region,
		Seed: rand.Uint64(), Keys: keyLimits,
	})
	d.links = peer.NewLinks(d.certificates)
	d.targetPools = upstream.NewPools(upstream.DialPlain)
	d.peerPools = upstream.NewPools(d.certificates.Dial)
	d.steer = entry.NewSteer(engine, d.targetPools, d.peerPools, broadcaster{d})
	d.proxy = entry.NewProxy(d.self, d.steer, &d.view, d.settings.Limits.BodyBytes)
	d.poller = upstream.NewPoller(d.handleReport)
}

func (d *Daemon) buildServers(l listeners) {
	headerBytes := d.settings.Limits.HeaderBytes
	lookup := entry.NewLookup(d.self, &d.view)
	d.callers = entry.NewServer(l.callers, entry.CallerHandler(lookup, d.proxy), headerBytes)
	d.forward = entry.NewServer(l.forward, d.proxy.ServePeer, headerBytes)
	operators := entry.NewOperators(d.self, d.steer, &d.view)
	d.operators = entry.NewServer(l.operators, entry.OperatorHandler(operators), headerBytes)
	d.peerServer = peer.NewServer(l.peer, receiver{d})
}

func (d *Daemon) buildControlEngine() {
	d.engine = control.New(control.Config{
		ID: control.InstanceID(d.self.ID), Zone: d.self.Zone, Region: d.self.Region,
		Address: d.peerAddr, CallerAddress: d.callersAddr, ForwardAddress: d.forwardAddr,
		Seeds: d.settings.Peers, Seed: rand.Uint64(), Start: time.Now(),
		Compile: document.Compile,
	})
}

// Validate checks the settings that do not depend on a document.
func (d *Daemon) Validate() error {
	switch {
	case d.engine == nil:
		return eris.New("validate: the daemon is not provisioned")
	case d.self.Zone == "" || d.self.Region == "":
		return eris.New("validate: zone and region must be set")
	case d.settings.Limits.HeaderBytes <= 0 || d.settings.Limits.BodyBytes < 0:
		return eris.New("validate: the header limit must be positive and the body limit must not be negative")
	}
	return nil
}

// Start starts the servers and the background loops and returns. The instance
// serves requests until Drain or Cleanup. Start does not wait for a document.
func (d *Daemon) Start() {
	d.serve("callers", d.callers.Serve)
	d.serve("forward", d.forward.Serve)
	d.serve("operators", d.operators.Serve)
	d.serve("peer", d.peerServer.Serve)
	d.loops.Go(d.controlLoop)
	d.loop(trafficTickPeriod, d.steer.Tick)
	d.loop(entry.WatchPeriod, d.steer.Watch)
	d.loop(hintPeriod, d.sendHints)
	d.loop(upstream.PollPeriod, d.poller.Poll)
	d.loops.Go(d.register)
	telemetry.Event("started",
		telemetry.F("instance", d.self.ID), telemetry.F("zone", d.self.Zone),
		telemetry.F("callers", d.callersAddr), telemetry.F("peer", d.peerAddr),
		telemetry.F("forward", d.forwardAddr), telemetry.F("operators", d.operatorsAddr))
}

// trafficTickPeriod is the interval at which the traffic engine is ticked.
const trafficTickPeriod = 10 * time.Millisecond

// serve runs a server in the background and logs an error that ends it before
// the shutdown.
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
func (d *Daemon) Callers() string { return d.callersAddr }

// Operators returns the address of the operators' port.
func (d *Daemon) Operators() string { return d.operatorsAddr }

// View returns the view that the control goroutine published last.
func (d *Daemon) View() *entry.View { return d.view.Load() }

// Peer returns the address of the peer port.
func (d *Daemon) Peer() string { return d.peerAddr }
