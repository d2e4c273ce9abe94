package traffic

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/virtual"
)

// world wires Engines to fake upstreams and fake peer links in virtual time.
// Its observers share no state with the Engines.
type world struct {
	virtual.Clock
	random             *rand.Rand
	docs               []*document.Compiled
	nodes              []*node
	faults             faults
	backgroundFraction float64 // fraction of requests that are turned into background reads
	serviceTime        func(*rand.Rand) time.Duration
	requests           []*clientRequest
	runs               map[string]int // runs by identity
	busy               map[string]int // busy slots by upstream address
	// mutate breaks a decision of an Engine, to test the observers.
	mutate       func(*Engine)
	violation    string // first violation
	counts       map[IncrementCounter]int
	actionCounts map[string]int // number of actions of each kind; nil if not counted
}

// faults holds the probability of each fault.
type faults struct {
	fail, shed, refused, breakBefore, breakAfter, hang, stream float64
	linkRefused, linkLost, replyLost, cancel, ackLost          float64
}

// clientRequest is one request of a caller; duplicates share the identity.
type clientRequest struct {
	identity      string
	nonIdempotent bool
	entry         *node
	runs          int // runs that this request caused, without its duplicates
	reply         *Reply
	canceled      bool
	entryCrashed  bool
	sentAt        time.Time
	repliedAt     time.Time
	service       string
}

// testResponse is the response to all requests of one identity.
type testResponse struct {
	identity string
	size     int
}

func (r testResponse) Size() int { return r.size }

type node struct {
	w        *world
	id       InstanceID
	zone     document.ZoneID
	doc      *document.Compiled
	engine   *Engine
	alive    bool
	held     []HeldShard
	nextID   RequestID
	requests map[RequestID]*nodeRequest
	busy     map[string]int // exchanges in flight by upstream address
	draining bool
}

// nodeRequest is a request as one node handles it.
type nodeRequest struct {
	client   *clientRequest
	arrived  RequestArrived
	onReply  func(Reply) // set for forwarded requests
	replied  bool
	released bool
	// malformed is set once an upstream sent bytes that cannot be its response.
	malformed bool
	exchanges map[Attempt]*exchange
}

type exchange struct {
	ended  bool
	cancel func()
}

func newWorld(seed uint64, docs ...*document.Compiled) *world {
	return &world{
		Clock: virtual.Clock{Now: time.Unix(1_700_000_000, 0)}, random: rand.New(rand.NewPCG(seed, 7)), docs: docs,
		runs: map[string]int{}, busy: map[string]int{}, counts: map[IncrementCounter]int{},
		serviceTime: func(r *rand.Rand) time.Duration { return time.Duration(1+r.IntN(60)) * time.Millisecond },
	}
}

func (w *world) reportViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = w.Now.Format("05.000 ") + fmt.Sprintf(format, args...)
	}
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

func (w *world) addNode(zone document.ZoneID) *node {
	n := &node{w: w, zone: zone, id: InstanceID(fmt.Sprint("n", len(w.nodes)))}
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

// start starts the node as a new process without state.
func (n *node) start() {
	n.doc, n.alive, n.held, n.draining = nil, true, nil, false
	n.requests, n.busy = map[RequestID]*nodeRequest{}, map[string]int{}
	n.engine = New(Config{Self: n.id, Zone: n.w.docs[0].Zones[n.zone].Name, Seed: n.w.random.Uint64()})
	n.applyDocument(n.w.docs[0])
}

func (n *node) applyDocument(doc *document.Compiled) {
	n.doc = doc
	n.handle(DocumentChanged{doc})
}

func (n *node) setShards(held []HeldShard) {
	n.held = held
	n.handle(ShardsChanged{held})
}

// kill ends the process. Its callers get no reply, its exchanges are canceled,
// and exchanges of peers with it break.
func (n *node) kill() {
	n.alive = false
	for _, req := range n.requests {
		if req.onReply == nil {
			req.client.entryCrashed = true
		} else if !req.replied {
			req.onReply(Reply{Outcome: Outcome(255)})
		}
		for _, x := range req.exchanges {
			x.cancel()
		}
	}
}

// updatePeers gives all nodes the actual list of live nodes.
func (w *world) updatePeers() {
	var infos []PeerInfo
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		info := PeerInfo{ID: n.id, Zone: n.zone, Leaving: n.draining}
		for _, h := range n.held {
			info.Shards = append(info.Shards, h.Shard)
		}
		infos = append(infos, info)
	}
	for _, n := range w.nodes {
		n.handle(PeersChanged{infos})
	}
}

func (w *world) exchangeHints() {
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if from != to && from.alive {
				to.handle(from.engine.LoadHint(w.Now))
			}
		}
	}
}

func (w *world) tickEvery(d time.Duration, end time.Time) {
	for _, n := range w.nodes {
		if n.alive {
			if w.mutate != nil {
				w.mutate(n.engine)
			}
			n.perform(n.engine.Tick(w.Now))
		}
	}
	if w.Now.Before(end) {
		w.After(d, func() { w.tickEvery(d, end) })
	}
}

func (w *world) countAction(a Action) {
	if w.actionCounts == nil {
		return
	}
	kind := fmt.Sprintf("%T", a)
	if r, ok := a.(Reply); ok {
		kind = fmt.Sprint("outcome ", r.Outcome, r.Replayed)
	}
	w.actionCounts[kind]++
}

func (n *node) handle(ev Event) {
	if n.alive {
		n.perform(n.engine.Handle(n.w.Now, ev))
	}
}

func (n *node) perform(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		n.w.countAction(a)
		switch a := a.(type) {
		case Send:
			n.send(a)
		case Forward:
			n.forward(a)
		case CancelExchange:
			n.requests[a.ID].exchanges[a.Attempt].cancel()
		case Reply:
			n.reply(a)
		case Release:
			n.release(a.ID)
		case BroadcastPoison:
			n.broadcast(a)
		case BroadcastLeaving:
			for _, other := range n.w.nodes {
				n.w.After(time.Millisecond, func() { other.handle(a.Leaving) })
			}
		case IncrementCounter:
			n.w.counts[a]++
		}
	}
}

// submit delivers a caller's request to the node.
func (n *node) submit(c *clientRequest, ev RequestArrived) RequestID {
	c.entry, c.sentAt = n, n.w.Now
	n.w.requests = append(n.w.requests, c)
	return n.accept(c, ev, nil)
}

func (n *node) accept(c *clientRequest, ev RequestArrived, onReply func(Reply)) RequestID {
	n.nextID++
	ev.ID, ev.Revision, ev.Service = n.nextID, n.doc.Revision, n.serviceNamed(c.service)
	n.requests[ev.ID] = &nodeRequest{client: c, arrived: ev, onReply: onReply, exchanges: map[Attempt]*exchange{}}
	n.handle(ev)
	return ev.ID
}

func (n *node) serviceNamed(name string) document.ServiceID {
	for s := range n.doc.Services {
		if n.doc.Services[s].Name == name {
			return document.ServiceID(s)
		}
	}
	return document.ServiceID(len(n.doc.Services))
}

func (n *node) cancel(id RequestID) {
	req := n.requests[id]
	if req == nil || req.released || !n.alive {
		return
	}
	if req.onReply == nil && !req.replied {
		req.client.canceled = true
	}
	n.handle(RequestCanceled{id})
}

func (n *node) reply(r Reply) {
	req := n.requests[r.ID]
	if req == nil || req.replied || req.released {
		n.w.reportViolation("second reply, or reply after release: %+v", r)
		return
	}
	req.replied = true
	n.checkOwner(req, r)
	if req.malformed && r.Outcome == Responded {
		n.w.reportViolation("%s got a response after a malformed one", req.client.identity)
	}
	if req.onReply != nil {
		req.onReply(r)
		return
	}
	c := req.client
	if c.canceled {
		n.w.reportViolation("reply after cancellation")
	}
	c.reply, c.repliedAt = &r, n.w.Now
	if r.Outcome == Responded && r.Response.(testResponse).identity != c.identity {
		n.w.reportViolation("response to %s went to %s", r.Response.(testResponse).identity, c.identity)
	}
}

// checkOwner reports a violation if the key's owner replies "not run" although
// a request with that key has run, under this owner or an earlier one.
func (n *node) checkOwner(req *nodeRequest, r Reply) {
	key := strings.Split(req.arrived.Key, ".")
	if r.Outcome != NotRun || r.Reason == ReasonNoService || len(key) != 3 || n.w.runs[req.client.identity] == 0 {
		return
	}
	for _, h := range n.held {
		if n.doc.Zones[h.Shard.Zone].Name == key[0] && fmt.Sprint(h.Shard.Index) == key[1] {
			n.w.reportViolation("owner replied not run to %s (%s), but it ran", req.client.identity, r.Reason)
		}
	}
}

func (n *node) release(id RequestID) {
	req := n.requests[id]
	if req == nil || req.released {
		n.w.reportViolation("second release of %d", id)
		return
	}
	req.released = true
	for _, x := range req.exchanges {
		if !x.ended {
			n.w.reportViolation("release of %d with an exchange in flight", id)
		}
	}
}

func (n *node) broadcast(b BroadcastPoison) {
	for _, other := range n.w.nodes {
		if other != n {
			n.w.After(time.Millisecond, func() { other.handle(b.Suspect) })
		}
	}
	if !n.w.chance(n.w.faults.ackLost) {
		n.w.After(3*time.Millisecond, func() { n.handle(BroadcastDone{b.ID}) })
	}
}

// startExchange records an exchange. The returned function ends it, once, and
// reports the end unless the node was killed since.
func (n *node) startExchange(id RequestID, attempt Attempt, onEnd func()) (*exchange, func(ExchangeEnded)) {
	req, engine, started := n.requests[id], n.engine, n.w.Now
	if req == nil || req.released {
		n.w.reportViolation("exchange after release")
		req = &nodeRequest{exchanges: map[Attempt]*exchange{}}
	}
	x := &exchange{}
	req.exchanges[attempt] = x
	return x, func(ev ExchangeEnded) {
		if x.ended {
			return
		}
		x.ended = true
		onEnd()
		if n.engine == engine {
			ev.ID, ev.Attempt, ev.Latency = id, attempt, n.w.Now.Sub(started)
			n.handle(ev)
		}
	}
}

func (n *node) send(s Send) {
	w, req := n.w, n.requests[s.ID]
	n.checkSlots(s)
	nodeBusy, address := n.busy, s.Address
	x, end := n.startExchange(s.ID, s.Attempt, func() { nodeBusy[address]--; w.busy[address]-- })
	x.cancel = func() { w.After(time.Millisecond, func() { end(ExchangeEnded{Result: Canceled}) }) }
	response := testResponse{req.client.identity, 100}
	run := func() {
		req.client.runs++
		w.runs[req.client.identity]++
		if req.client.nonIdempotent && w.runs[req.client.identity] > 1 {
			w.reportViolation("%s ran twice", req.client.identity)
		}
	}
	serviceTime := w.serviceTime(w.random)
	endAfter := func(d time.Duration, ev ExchangeEnded) { w.After(d, func() { end(ev) }) }
	w.After(max(0, s.Deadline.Sub(w.Now)), func() { end(ExchangeEnded{Result: TimedOut}) })
	f := &w.faults
	switch {
	case w.chance(f.refused):
		endAfter(time.Millisecond, ExchangeEnded{Result: NotSent})
	case w.chance(f.shed):
		endAfter(2*time.Millisecond, ExchangeEnded{Result: Shed})
	case w.chance(f.breakBefore):
		endAfter(2*time.Millisecond, ExchangeEnded{Result: Broken})
	case w.chance(f.breakAfter):
		run()
		if w.random.IntN(2) == 0 {
			endAfter(serviceTime, ExchangeEnded{Result: Broken})
			return
		}
		w.After(serviceTime, func() {
			req.malformed = req.malformed || !x.ended
			end(ExchangeEnded{Result: Malformed})
		})
	case w.chance(f.hang):
		run()
	case w.chance(f.fail):
		run()
		endAfter(2*time.Millisecond, ExchangeEnded{Result: Failed, Status: 500, Response: response})
	case w.chance(f.stream):
		run()
		response.size = 2 << 20
		w.After(serviceTime, func() {
			if !x.ended {
				n.handle(ResponseStarted{ID: s.ID, Attempt: s.Attempt, Response: response})
			}
		})
		result := Completed
		if w.chance(f.breakAfter) {
			result = Broken
		}
		endAfter(serviceTime*2, ExchangeEnded{Result: result, Response: response})
	default:
		run()
		endAfter(serviceTime, ExchangeEnded{Result: Completed, Status: 200, Response: response})
	}
}

// checkSlots checks that a node uses only the slots that its leases grant, and
// that no more than 3 slots of an upstream are busy.
func (n *node) checkSlots(s Send) {
	n.busy[s.Address]++
	n.w.busy[s.Address]++
	target := &n.doc.Targets[s.Target]
	owned := 0
	for k := range target.Slots {
		for _, h := range n.held {
			if h.Shard == n.doc.SlotOwner(s.Target, k) {
				owned++
			}
		}
	}
	if target.Address != s.Address || n.busy[s.Address] > owned {
		n.w.reportViolation("%s uses %d slots of %s, owns %d", n.id, n.busy[s.Address], s.Address, owned)
	}
	if n.w.busy[s.Address] > 3 {
		n.w.reportViolation("%d slots busy at %s", n.w.busy[s.Address], s.Address)
	}
}

func (n *node) forward(f Forward) {
	w, req := n.w, n.requests[f.ID]
	x, end := n.startExchange(f.ID, f.Attempt, func() {})
	x.cancel = func() { w.After(time.Millisecond, func() { end(ExchangeEnded{Result: Canceled}) }) }
	var to *node
	for _, other := range w.nodes {
		if other.id == f.Peer {
			to = other
		}
	}
	if w.chance(w.faults.linkRefused) || !to.alive {
		w.After(time.Millisecond, func() { end(ExchangeEnded{Result: NotSent}) })
		return
	}
	w.After(max(0, f.Deadline.Sub(w.Now)), func() { end(ExchangeEnded{Result: TimedOut}) })
	if w.chance(w.faults.linkLost) {
		w.After(2*time.Millisecond, func() { end(ExchangeEnded{Result: Broken}) })
		return
	}
	replyLost := w.chance(w.faults.replyLost)
	ev := req.arrived
	ev.Deadline = f.Deadline
	ev.Forwarded = &Forwarded{
		From: n.id, FromRegion: n.doc.Zones[n.zone].Region, ToOwner: f.ToOwner, ShiftCharged: f.ShiftCharged, Attempts: f.Attempts,
	}
	w.After(time.Millisecond, func() {
		if !to.alive {
			end(ExchangeEnded{Result: NotSent})
			return
		}
		engine := to.engine
		id := to.accept(req.client, ev, func(r Reply) {
			w.After(time.Millisecond, func() {
				if replyLost {
					r.Outcome = Outcome(255)
				}
				end(peerResult(r))
			})
		})
		x.cancel = func() {
			w.After(time.Millisecond, func() {
				if to.engine == engine {
					to.cancel(id)
				}
				end(ExchangeEnded{Result: Canceled})
			})
		}
	})
}

// peerResult returns the event that a forwarding adapter reports for a peer's
// reply.
func peerResult(r Reply) ExchangeEnded {
	ev := ExchangeEnded{Response: r.Response, Reason: r.Reason, Replayed: r.Replayed, Attempts: r.Attempts}
	switch r.Outcome {
	case Responded:
		ev.Result = Completed
	case NotRun:
		ev.Result = Shed
	case Unknown:
		ev.Result = UnknownAtPeer
	case KeyReused:
		ev.Result = KeyReusedAtPeer
	case BadKey:
		ev.Result = BadKeyAtPeer
	default:
		ev.Result, ev.Reason = Broken, ReasonNone
	}
	return ev
}

// verify returns the first violation, empty if there was none. At the end of a
// run, no request may be left open and no request that ran may have got the
// outcome NotRun.
func (w *world) verify() string {
	for _, n := range w.nodes {
		if n.alive && !n.engine.Idle() {
			w.reportViolation("%s is not idle", n.id)
		}
		for id, req := range n.requests {
			if n.alive && !req.released {
				w.reportViolation("%s did not release %d", n.id, id)
			}
		}
	}
	for _, c := range w.requests {
		if c.reply == nil && !c.canceled && !c.entryCrashed {
			w.reportViolation("%s got no reply", c.identity)
		}
		if c.reply != nil && c.reply.Outcome == NotRun && c.runs > 0 {
			w.reportViolation("%s got the outcome not run (%s) but ran", c.identity, c.reply.Reason)
		}
	}
	return w.violation
}
