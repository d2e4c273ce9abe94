package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// memberPeriod is how often the rows of all instances are read. One that
	// starts writes its row, reads those of others and sends them heartbeats,
	// so that of two at least one finds the other; this only helps after lost
	// heartbeats.
	memberPeriod = 30 * time.Second
	// memberRetry is the pause after a failed call.
	memberRetry = time.Second
	// datagramBytes bounds a heartbeat.
	datagramBytes = 8 << 10
)

// peerAddress is where heartbeats are received.
func peerAddress(node *platform.Node) string {
	return net.JoinHostPort(node.Address, strconv.Itoa(node.PeerPort))
}

// peers sends and receives heartbeats. It is safe for concurrent use.
type peers struct {
	mu    sync.Mutex
	table *presence.Table
	// read is set once the rows of all instances were read.
	read bool
	conn *net.UDPConn
}

func newPeers(self presence.Beat) *peers {
	return &peers{table: presence.New(self, uint64(self.Boot))}
}

func (p *peers) listen() error {
	address, err := net.ResolveUDPAddr("udp4", p.table.Self().Peers)
	if err != nil {
		return eris.Wrapf(err, "step=listen_peers peer=%s", p.table.Self().Peers)
	}
	p.conn, err = net.ListenUDP("udp4", address)
	return eris.Wrapf(err, "step=listen_peers peer=%s", address)
}

func (p *peers) close() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// send sends one heartbeat.
func (p *peers) send(now time.Time, state presence.State, breaks []steer.Break, seen []steer.Observation) {
	p.mu.Lock()
	p.table.SetState(state)
	own, sendings := p.table.Next(now)
	p.mu.Unlock()
	for _, sending := range sendings {
		message := heartbeat{own: own, others: sending.Copies, breaks: breaks}
		if sending.Near {
			message.seen = seen
		}
		p.write(sending.To, message)
	}
}

// pulse sends a short heartbeat to the zone while callers are sent here.
func (p *peers) pulse(now time.Time) {
	p.mu.Lock()
	own, addresses := p.table.Pulse(now)
	p.mu.Unlock()
	for _, address := range addresses {
		p.write(address, heartbeat{own: own})
	}
}

func (p *peers) write(address string, message heartbeat) {
	peer, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = p.conn.WriteToUDP(encodeHeartbeat(message), peer)
	}
	if err != nil {
		telemetry.Debug("heartbeat_not_sent", telemetry.F("peer", address), telemetry.F("error", err))
	}
}

// receive calls hear with each heartbeat until the socket is closed.
func (p *peers) receive(hear func(heartbeat)) {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		message, err := decodeHeartbeat(buffer[:n])
		if err != nil {
			telemetry.Event("heartbeat_refused", telemetry.F("peer", from), telemetry.F("error", err))
			continue
		}
		hear(message)
	}
}

// hear takes in a heartbeat.
func (g *Gateway) hear(message heartbeat) {
	now := time.Now()
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.documents.heard(message.own.Document)
	g.registry.heard(message.own.Registry)
	g.mu.Lock()
	g.engine.HearBreaks(now, message.breaks)
	g.engine.HearObservations(now, message.own.Name, message.seen)
	g.mu.Unlock()
	for _, beat := range append(message.others, message.own) {
		if g.peers.table.Hear(now, beat) {
			telemetry.Event("instance_live", telemetry.F("instance", beat.Name), telemetry.F("zone", beat.Zone))
		}
	}
}

// fleet is what an instance knows of the others.
type fleet struct {
	live, known int
	// senders are the others that may send to cold targets; sender tells
	// whether this one may.
	senders []string
	sender  bool
	// read is set once the rows of all instances were read.
	read bool
}

func (p *peers) fleet(now time.Time) fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := fleet{live: len(p.table.Live(now)), known: p.table.Known(), read: p.read}
	f.senders, f.sender = p.table.ColdSenders()
	return f
}

func (p *peers) live(now time.Time) []presence.Beat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Live(now)
}

// beat sends a heartbeat and tells the engine who is alive.
func (g *Gateway) beat() {
	now := time.Now()
	g.mu.Lock()
	breaks, seen := g.engine.Breaks(now), g.engine.Observations(now)
	g.mu.Unlock()
	g.peers.send(now, presence.State{
		Ready: g.ready(), Leaving: g.leaving.Load(), Named: g.named(),
		Document: g.documents.version(), Registry: g.registry.version(),
	}, breaks, seen)
	fleet := g.peers.fleet(now)
	if fleet.live == 0 && fleet.known > 0 || g.registry.behindFor(now) > ownPathTime {
		g.store.blameOwnPath()
	}
	if !fleet.read {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine.SetInstances(fleet.live, fleet.senders, fleet.sender)
}

// keepMembership writes the own row, reads those of others and sends
// heartbeats.
func (g *Gateway) keepMembership() {
	written := false
	for g.ctx.Err() == nil {
		period := memberPeriod
		if err := g.syncMembers(&written); err != nil {
			telemetry.Failure("sync_members", err)
			period = memberRetry
		}
		pause(g.ctx, period)
	}
}

// syncMembers writes the own row, unless it is written, and reads all rows.
func (g *Gateway) syncMembers(written *bool) error {
	if !*written && !g.leaving.Load() {
		if err := g.client.WriteMember(g.ctx, g.member()); err != nil {
			return err
		}
		*written = true
	}
	return g.readMembers()
}

func (g *Gateway) sendBeats() {
	for g.ctx.Err() == nil {
		g.beat()
		for range presence.Pulses {
			pause(g.ctx, presence.Interval/(presence.Pulses+1))
			g.peers.pulse(time.Now())
		}
		pause(g.ctx, presence.Interval/(presence.Pulses+1))
	}
}

func (g *Gateway) member() platform.Member {
	self := g.self()
	return platform.Member{
		Name: self.Name, Requests: self.Requests, Peers: self.Peers, Zone: self.Zone, Boot: self.Boot,
		CPU: self.CPU, Link: self.Link,
	}
}

func (g *Gateway) readMembers() error {
	members, err := g.client.ReadMembers(g.ctx)
	if err != nil {
		return err
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.read = true
	for _, m := range members {
		g.peers.table.Learn(presence.Beat{
			Name: m.Name, Zone: m.Zone, Requests: m.Requests, Peers: m.Peers, Boot: m.Boot, CPU: m.CPU, Link: m.Link,
		})
	}
	return nil
}

func (g *Gateway) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.client.RemoveMember(ctx, g.node.Name); err != nil {
		telemetry.Failure("remove_member", err)
	}
}
