package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/presence"
	"pistachioford.example/core/sharedrate"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// memberSyncInterval is how often the rows of all instances are read. A
	// starting instance writes its row, reads the others' rows and sends
	// heartbeats to them, so that of two instances at least one finds the
	// other. Reading again only helps after lost heartbeats.
	memberSyncInterval = 30 * time.Second
	// startMembersWait is how long a starting instance waits for the instances of
	// its zone to reply before it reads the feeds: one of them may spare it the
	// calls to the store. At the first start of the system no caller waits, and
	// the rows of all instances are written one after the other.
	startMembersWait = time.Second
	firstStartWait   = 3 * time.Second
	// minGreetingWait and greetingWaitPerInstance are how long replies to a
	// greeting may take, up to maxGreetingWait: in a large zone that starts
	// again, more instances would otherwise read the store.
	minGreetingWait         = 15 * time.Millisecond
	greetingWaitPerInstance = 4 * time.Millisecond
	maxGreetingWait         = 200 * time.Millisecond
	// memberRetryDelay is the pause after a failed call.
	memberRetryDelay = time.Second
	// maxHeartbeatBytes limits the size of a received heartbeat.
	maxHeartbeatBytes = 8 << 10
)

// peerAddress returns the address for heartbeats (UDP) and followers (TCP).
func peerAddress(node *platform.Node) string {
	return net.JoinHostPort(node.Address, strconv.Itoa(node.PeerPort))
}

// peers sends and receives heartbeats. It is safe for concurrent use.
type peers struct {
	mu    sync.Mutex
	table *presence.Table
	// membersRead is set once the rows of all instances were read.
	membersRead bool
	// greeted is closed once heartbeats were sent to the zone's instances in
	// these rows, or the rows could not be read.
	greeted chan struct{}
	conn    *net.UDPConn
}

func newPeers(self presence.Heartbeat) *peers {
	return &peers{table: presence.New(self, uint64(self.Boot)), greeted: make(chan struct{})}
}

func (p *peers) listen() error {
	address, err := net.ResolveUDPAddr("udp4", p.table.Self().PeerAddr)
	if err != nil {
		return eris.Wrapf(err, "step=listen_peers peer=%s", p.table.Self().PeerAddr)
	}
	p.conn, err = net.ListenUDP("udp4", address)
	return eris.Wrapf(err, "step=listen_peers peer=%s", address)
}

func (p *peers) close() {
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// send sends a heartbeat to the instances that the table selects. Only those of
// the own zone get the loads of targets.
func (p *peers) send(now time.Time, state presence.State, verdicts []poison.Verdict, loads, notices []steer.Observation) {
	p.mu.Lock()
	p.table.SetState(state)
	own, deliveries := p.table.NextHeartbeat(now)
	p.mu.Unlock()
	for _, delivery := range deliveries {
		message := heartbeatMessage{own: own, others: delivery.Copies, verdicts: verdicts, observations: notices}
		if delivery.SameZone {
			message.observations = slices.Concat(notices, loads)
		}
		p.write(delivery.To, message)
	}
}

// greet sends a heartbeat to the known instances of the zone that are not live
// here. Those that are running reply.
func (p *peers) greet(now time.Time) {
	p.mu.Lock()
	own, addresses := p.table.Greeting(now)
	p.mu.Unlock()
	for _, address := range addresses {
		p.write(address, heartbeatMessage{own: own})
	}
}

// reply sends a heartbeat to an instance of the zone that became live, so that
// it need not wait for the next regular one.
func (p *peers) reply(to presence.Heartbeat) {
	p.mu.Lock()
	own := p.table.NextReply()
	p.mu.Unlock()
	p.write(to.PeerAddr, heartbeatMessage{own: own})
}

// pulse sends the next pulse to the zone if lookups return this instance.
func (p *peers) pulse(now time.Time) {
	p.mu.Lock()
	own, addresses := p.table.NextPulse(now)
	p.mu.Unlock()
	for _, address := range addresses {
		p.write(address, heartbeatMessage{own: own})
	}
}

func (p *peers) write(address string, message heartbeatMessage) {
	peer, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = p.conn.WriteToUDP(encodeHeartbeatMessage(message), peer)
	}
	if err != nil {
		telemetry.Debug("heartbeat_not_sent", telemetry.F("peer", address), telemetry.F("error", err))
	}
}

// receive calls handle with each heartbeat until the socket is closed.
func (p *peers) receive(handle func(heartbeatMessage)) {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		message, err := decodeHeartbeatMessage(buffer[:n])
		message.from = from.String()
		if err != nil {
			telemetry.Event("heartbeat_refused", telemetry.F("peer", from), telemetry.F("error", err))
			continue
		}
		handle(message)
	}
}

// handleHeartbeatGuarded drops a heartbeat that cannot be handled, and forgets
// its sender until the next one.
func (g *Gateway) handleHeartbeatGuarded(message heartbeatMessage) {
	if g.guard("heartbeat", func() { g.handleHeartbeat(message) }) {
		return
	}
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.table.Forget(message.own.Name)
}

// handleHeartbeat applies a heartbeat of another instance and the copies in it.
func (g *Gateway) handleHeartbeat(message heartbeatMessage) {
	if g.handleLoans(message) {
		return
	}
	now := time.Now()
	for _, heartbeat := range append(message.others, message.own) {
		g.operatorProgress.recordPeerVersion(heartbeat.Document)
		g.registryProgress.recordPeerVersion(heartbeat.Registry)
	}
	g.withEngine(func(e *steer.Engine) {
		e.Poison().RecordReports(now, message.reports)
		e.Poison().RecordVerdicts(now, message.verdicts)
		e.RecordObservations(now, message.own.Name, message.observations)
	})
	if g.recordHeartbeats(now, message) && message.own.Zone == g.node.Zone {
		g.peers.reply(message.own)
	}
}

// recordHeartbeats records the heartbeats of a message. It returns true if the
// sender became live.
func (g *Gateway) recordHeartbeats(now time.Time, message heartbeatMessage) (senderBecameLive bool) {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	for _, heartbeat := range append(message.others, message.own) {
		if !g.peers.table.RecordHeartbeat(now, heartbeat) {
			continue
		}
		telemetry.Event("instance_live", telemetry.F("instance", heartbeat.Name), telemetry.F("zone", heartbeat.Zone))
		senderBecameLive = senderBecameLive || heartbeat.Name == message.own.Name
	}
	return senderBecameLive
}

// fleet is what an instance knows of the others.
type fleet struct {
	// live is the number of other instances that are live, known that of all
	// others, live or not.
	live, known int
	// coldSenders are the other instances that may send to cold targets;
	// coldSender is set if this one may.
	coldSenders []string
	coldSender  bool
	// membersRead is set once the rows of all instances were read.
	membersRead bool
}

func (p *peers) fleet(now time.Time) fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := fleet{live: len(p.table.Live(now)), known: p.table.Known(), membersRead: p.membersRead}
	f.coldSenders, f.coldSender = p.table.ColdSenders()
	return f
}

func (p *peers) demands(now time.Time, regions map[string]string) []steer.PeerDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Demands(now, regions)
}

// accountPeers returns what the others reported of their demands for accounts.
func (p *peers) accountPeers() []sharedrate.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.AccountPeers()
}

func (p *peers) live(now time.Time) []presence.Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Live(now)
}

// sendHeartbeat sends a heartbeat and updates the live instances of the engine.
// It also detects that only this instance has lost the store.
func (g *Gateway) sendHeartbeat() {
	now := time.Now()
	var messages poison.Messages
	var loads, notices []steer.Observation
	live := g.peers.live(now)
	advertised := g.isAdvertised()
	state := presence.State{
		Ready: g.ready(), Leaving: g.leaving.Load(), StoreLost: isClosed(g.storeState.whenLost()), Advertised: advertised,
		Document: g.operatorProgress.newestVersion(), Registry: g.registryProgress.newestVersion(),
	}
	g.guard("observations", func() {
		g.withEngine(func(e *steer.Engine) {
			e.Poison().SetInstances(names(live))
			messages = e.Poison().NextMessages(now)
			loads, notices = e.Observations(now), e.SharedNotices(now)
			state.Demands, state.ReportsDemands = e.Demands(now)
		})
	})
	if g.hasAccounts() {
		state.ReportsAccounts, state.AccountDemands = true, g.reportDemands(now)
	}
	g.peers.send(now, state, messages.Repeated, loads, notices)
	g.peers.sendPoison(live, messages)
	demands := g.peers.demands(now, g.node.Zones)
	g.guard("demands", func() { g.withEngine(func(e *steer.Engine) { e.SetPeerDemands(demands) }) })
	fleet := g.peers.fleet(now)
	g.guard("caps", func() { g.updateShares(now, fleet, advertised) })
	if fleet.live == 0 && fleet.known > 0 || g.registryProgress.behindFor(now) > localOutageAfter {
		g.storeState.markLocalOutage()
	}
	hasRelay := relayOf(platform.FeedOperator, g.self(), live) != ""
	if g.hasRelay.Swap(hasRelay) && !hasRelay && anyLostStore(g.node.Zone, live) {
		// The relay may hold a call though it has lost the store unnoticed. Without
		// a loss the call ends in time: while a zone starts its relay changes often.
		g.operatorProgress.interruptWait()
	}
	if !fleet.membersRead {
		return
	}
	g.guard("instances", func() {
		g.withEngine(func(e *steer.Engine) { e.SetInstances(fleet.live, fleet.coldSenders, fleet.coldSender) })
	})
}

// announceReadiness sends a heartbeat if this instance has just become ready at
// the first start of the system. The choice of relays depends on which instances
// are ready: until all know it, they choose different ones, and more instances
// than one follow the store. After a restart callers wait, and lookups would send
// all of them to the instances that became ready first.
func (g *Gateway) announceReadiness() {
	if g.node.FirstStart && g.ready() && !g.announcedReady.Swap(true) {
		g.sendHeartbeat()
	}
}

// anyLostStore reports whether an instance of a zone has lost the store.
func anyLostStore(zone string, live []presence.Heartbeat) bool {
	return slices.ContainsFunc(live, func(h presence.Heartbeat) bool { return h.Zone == zone && h.StoreLost })
}

// maintainMembership writes this instance's row and reads those of the others.
func (g *Gateway) maintainMembership() {
	registered := false
	for g.ctx.Err() == nil {
		period := memberSyncInterval
		err := g.syncMembers(&registered)
		if err != nil {
			telemetry.Failure("sync_members", err)
			g.dropIdleConnections()
			period = memberRetryDelay
		}
		if err == nil || !g.node.FirstStart {
			g.peers.closeGreeted()
		}
		g.pauseUntilRestore(period)
	}
}

// pauseUntilRestore waits for d, or until the store has come back from a copy.
func (g *Gateway) pauseUntilRestore(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-g.ctx.Done():
	case <-timer.C:
	case <-g.restores:
	}
}

// syncMembers reads the rows of all instances and greets those of the zone. It
// also writes this instance's row, unless it is registered already.
func (g *Gateway) syncMembers(registered *bool) error {
	if *registered {
		// Later reads only help after lost heartbeats, and heartbeats pass on
		// what one instance of the zone has read.
		if relayAddress(g.self(), g.peers.live(time.Now())) != "" {
			return nil
		}
		read, err := g.readMembers()
		if err != nil {
			return err
		}
		return g.restoreMembers(read)
	}
	if !g.node.FirstStart {
		// The row of an earlier start may still hold. Writes of a whole fleet
		// that starts again would wait for each other.
		read, err := g.readMembers()
		current := read[g.node.Name] == g.memberRow()
		if err != nil || current || g.leaving.Load() {
			*registered = current
			return err
		}
	}
	// The row is written before the others are read, so that of two instances
	// at least one finds the other.
	if err := g.storeClient.WriteMembers(g.ctx, g.memberRow()); err != nil {
		return err
	}
	*registered = true
	_, err := g.readMembers()
	return err
}

// awaitMembers waits at the start of an instance until the instances of its zone
// had time to reply to its greeting, but no longer than startMembersWait, or
// firstStartWait.
func (g *Gateway) awaitMembers() {
	limit := startMembersWait
	if g.node.FirstStart {
		limit = firstStartWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.peers.greeted:
		wait := minGreetingWait + time.Duration(g.peers.knownInZone())*greetingWaitPerInstance
		pause(g.ctx, min(wait, maxGreetingWait))
	case <-timer.C:
	case <-g.ctx.Done():
	}
}

// knownInZone returns the number of other known instances of the zone.
func (p *peers) knownInZone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.KnownInZone()
}

// closeGreeted ends the wait of awaitMembers. Only maintainMembership calls it,
// after a restart also if that failed: without the store no instance can be
// greeted.
func (p *peers) closeGreeted() {
	select {
	case <-p.greeted:
	default:
		close(p.greeted)
	}
}

// sendHeartbeats sends heartbeats, and pulses between them, until the instance
// stops.
func (g *Gateway) sendHeartbeats() {
	for g.ctx.Err() == nil {
		g.sendHeartbeat()
		for range presence.PulsesPerInterval {
			pause(g.ctx, presence.Interval/(presence.PulsesPerInterval+1))
			g.peers.pulse(time.Now())
		}
		pause(g.ctx, presence.Interval/(presence.PulsesPerInterval+1))
	}
}

// restoreMembers writes the rows of this instance and of the live ones of its
// zone that are missing among those read: the store has lost them.
func (g *Gateway) restoreMembers(read map[string]platform.Member) error {
	if g.leaving.Load() {
		return nil
	}
	var missing []platform.Member
	for _, instance := range append(g.peers.live(time.Now()), g.self()) {
		if _, found := read[instance.Name]; !found && instance.Zone == g.node.Zone {
			missing = append(missing, memberOf(instance))
		}
	}
	if len(missing) == 0 {
		return nil
	}
	telemetry.Event("members_restored", telemetry.F("rows", len(missing)))
	return g.storeClient.WriteMembers(g.ctx, missing...)
}

func (g *Gateway) memberRow() platform.Member { return memberOf(g.self()) }

func memberOf(instance presence.Heartbeat) platform.Member {
	return platform.Member{
		Name: instance.Name, Requests: instance.RequestAddr, Peers: instance.PeerAddr, Zone: instance.Zone, Boot: instance.Boot,
		MilliCPU: instance.MilliCPU, LinkMbps: instance.LinkMbps,
	}
}

// readMembers reads the rows of all instances and greets those of the zone. It
// returns the rows by name, that of this instance with its present boot.
func (g *Gateway) readMembers() (map[string]platform.Member, error) {
	members, refused, err := g.storeClient.ReadMembers(g.ctx)
	if err != nil {
		return nil, err
	}
	for _, err := range refused {
		telemetry.Failure("member_refused", err)
	}
	read := make(map[string]platform.Member, len(members))
	for _, m := range members {
		if m.Name == g.node.Name {
			// Only heartbeats need the newest boot.
			m.Boot = g.boot
		}
		read[m.Name] = m
	}
	g.peers.addMembers(members)
	g.peers.greet(time.Now())
	return read, nil
}

func (p *peers) addMembers(members []platform.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.membersRead = true
	for _, m := range members {
		p.table.Add(presence.Heartbeat{
			Name: m.Name, Zone: m.Zone, RequestAddr: m.Requests, PeerAddr: m.Peers, Boot: m.Boot, MilliCPU: m.MilliCPU, LinkMbps: m.LinkMbps,
		})
	}
}

func (g *Gateway) removeMember() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.storeClient.RemoveMember(ctx, g.node.Name); err != nil {
		telemetry.Failure("remove_member", err)
	}
}
