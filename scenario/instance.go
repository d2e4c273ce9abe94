package scenario

import (
	"slices"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

const (
	tickInterval = 10 * time.Millisecond
	loadInterval = 200 * time.Millisecond
	// maxTickGap is the longest pause after which an instance still uses its
	// shards at once.
	maxTickGap = 8 * time.Second
)

// Decider makes the decisions of an instance: the traffic engine or the
// baseline.
type Decider interface {
	Handle(now time.Time, ev traffic.Event) []traffic.Action
	Tick(now time.Time) []traffic.Action
	LoadHint(now time.Time) traffic.PeerLoad
	Idle() bool
}

// instance is a fake daemon around a Decider.
type instance struct {
	world   *world
	id      traffic.InstanceID
	zone    document.ZoneID
	decider Decider
	shards  []traffic.HeldShard

	alive    bool
	hostDown bool // the host is lost: connection attempts get no response
	leaving  bool
	pausedAt time.Time
	// unavailableSince is the time of the last exit or pause.
	unavailableSince time.Time
	backlog          []traffic.Event

	lastID  traffic.RequestID
	inbound map[traffic.RequestID]*inbound
}

// inbound is one request inside an instance.
type inbound struct {
	call      *call
	replied   bool
	reply     func(traffic.Reply)
	onBroken  func()
	exchanges []*exchange
}

// exchange is one attempt to run a request at an upstream or a peer.
type exchange struct {
	in       *instance
	id       traffic.RequestID
	attempt  traffic.Attempt
	started  time.Time
	deadline time.Time
	ended    bool
	abort    func()
}

// receive passes a request to the instance and returns its ID, by which it can
// be canceled.
func (in *instance) receive(c *call, from *traffic.Forwarded, deadline time.Time, reply func(traffic.Reply), onBroken func()) traffic.RequestID {
	in.lastID++
	in.inbound[in.lastID] = &inbound{call: c, reply: reply, onBroken: onBroken}
	in.handle(traffic.RequestArrived{
		ID: in.lastID, Service: c.load.serviceID, Key: c.request.key, Fingerprint: c.request.fingerprint,
		BodyBytes: c.load.Bytes, Replayable: c.load.Bytes <= 1<<20, Deadline: deadline,
		HomeRegion: int(in.world.region(c.request.homeZone)), Forwarded: from,
	})
	return in.lastID
}

// handle passes an event to the decider and carries out the resulting actions.
// Events that reach a paused instance wait until it resumes.
func (in *instance) handle(ev traffic.Event) {
	if !in.alive {
		return
	}
	if !in.pausedAt.IsZero() {
		in.backlog = append(in.backlog, ev)
		return
	}
	in.world.checker.onEvent(ev)
	ev, ok := in.world.settings.Fault.alterEvent(ev)
	if ok {
		in.execute(in.decider.Handle(in.world.clock.Now, ev))
	}
}

func (in *instance) tick() {
	if in.alive && in.pausedAt.IsZero() {
		in.execute(in.decider.Tick(in.world.clock.Now))
	}
}

func (in *instance) execute(actions []traffic.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case traffic.Send:
			in.send(a)
		case traffic.Forward:
			in.forward(a)
		case traffic.CancelExchange:
			in.cancelExchange(a)
		case traffic.Reply:
			in.reply(a)
		case traffic.Release:
			in.releaseRequest(a)
		case traffic.BroadcastPoison:
			in.broadcastPoison(a)
		case traffic.BroadcastLeaving:
			in.broadcastLeaving(a)
		case traffic.IncrementCounter:
			in.world.stats.addCount(in, a)
		}
	}
}

func (in *instance) openExchange(id traffic.RequestID, attempt traffic.Attempt, deadline time.Time) *exchange {
	now := in.world.clock.Now
	x := &exchange{in: in, id: id, attempt: attempt, started: now, deadline: deadline, abort: func() {}}
	in.inbound[id].exchanges = append(in.inbound[id].exchanges, x)
	in.world.clock.After(deadline.Sub(now), func() {
		if !x.ended {
			x.abort()
			x.end(traffic.TimedOut, false, nil)
		}
	})
	return x
}

// end finishes the exchange with the result of an upstream or the network.
func (x *exchange) end(result traffic.Result, leaving bool, a *response) {
	ended := traffic.ExchangeEnded{Result: result, Leaving: leaving}
	if a != nil && (result == traffic.Completed || result == traffic.Failed) {
		ended.Response, ended.Status = a, a.status
	}
	x.finish(ended)
}

// finish reports the end of the exchange to the instance, once.
func (x *exchange) finish(ended traffic.ExchangeEnded) {
	if x.ended {
		return
	}
	x.ended = true
	ended.ID, ended.Attempt = x.id, x.attempt
	ended.Latency = x.in.world.clock.Now.Sub(x.started)
	x.in.handle(ended)
}

// send opens an exchange with an upstream of the instance's zone.
func (in *instance) send(a traffic.Send) {
	w := in.world
	u := w.upstreams[a.Target]
	x := in.openExchange(a.ID, a.Attempt, a.Deadline)
	r := &run{exchange: x, call: in.inbound[a.ID].call}
	w.stats.requestSent(r.call)
	x.abort = func() { w.network.send(in.zone, u.zone, 0, func() { u.cancel(r) }) }
	w.network.send(in.zone, u.zone, 0, func() {
		if u.down {
			w.network.send(u.zone, in.zone, 0, func() { x.end(traffic.NotSent, false, nil) })
			return
		}
		u.receive(r)
	})
}

// forward opens an exchange with a peer. A connection attempt without a response
// fails after dialTimeout. If the link is cut later, the exchange ends only at
// its deadline.
func (in *instance) forward(a traffic.Forward) {
	w := in.world
	peer := w.byID[a.Peer]
	x := in.openExchange(a.ID, a.Attempt, a.Deadline)
	c := in.inbound[a.ID].call
	if w.network.link(in.zone, peer.zone).cut || peer.hostDown {
		w.clock.After(dialTimeout, func() { x.end(traffic.NotSent, false, nil) })
		return
	}
	from := &traffic.Forwarded{From: in.id, FromRegion: w.region(in.zone), ToOwner: a.ToOwner, ShiftCharged: a.ShiftCharged, Attempts: a.Attempts}
	w.network.send(in.zone, peer.zone, max(c.load.Bytes, 0), func() {
		if !peer.alive {
			w.network.send(peer.zone, in.zone, 0, func() { x.end(traffic.NotSent, false, nil) })
			return
		}
		if x.ended {
			return
		}
		in.forwardTo(peer, x, c, from)
	})
}

func (in *instance) forwardTo(peer *instance, x *exchange, c *call, from *traffic.Forwarded) {
	w := in.world
	reply := func(r traffic.Reply) {
		w.network.send(peer.zone, in.zone, replyBytes(r), func() { x.finish(peerResult(r)) })
	}
	onBroken := func() {
		w.network.send(peer.zone, in.zone, 0, func() { x.end(traffic.Broken, false, nil) })
	}
	id := peer.receive(c, from, x.deadline, reply, onBroken)
	x.abort = func() {
		w.network.send(in.zone, peer.zone, 0, func() { peer.handle(traffic.RequestCanceled{ID: id}) })
	}
}

func replyBytes(r traffic.Reply) int64 {
	if r.Response == nil {
		return 0
	}
	return int64(r.Response.Size())
}

// peerResult converts the reply of a peer to the end of the exchange.
func peerResult(r traffic.Reply) traffic.ExchangeEnded {
	ended := traffic.ExchangeEnded{Reason: r.Reason, Replayed: r.Replayed, Attempts: r.Attempts}
	switch r.Outcome {
	case traffic.NotRun:
		ended.Result = traffic.Shed
	case traffic.Unknown:
		ended.Result = traffic.UnknownAtPeer
	case traffic.KeyReused:
		ended.Result = traffic.KeyReusedAtPeer
	case traffic.BadKey:
		ended.Result = traffic.BadKeyAtPeer
	case traffic.Responded:
		a := r.Response.(*response)
		ended.Response, ended.Status = a, a.status
		if a.status >= 500 {
			ended.Result = traffic.Failed
		}
	}
	return ended
}

func (in *instance) cancelExchange(a traffic.CancelExchange) {
	for _, x := range in.inbound[a.ID].exchanges {
		if x.attempt == a.Attempt && !x.ended {
			x.abort()
			in.world.clock.After(0, func() { x.end(traffic.Canceled, false, nil) })
		}
	}
}

func (in *instance) reply(reply traffic.Reply) {
	request, ok := in.inbound[reply.ID]
	if !ok || request.replied {
		in.world.checker.failf(checkReply, "%s replies again to request %d", in.id, reply.ID)
		return
	}
	request.replied = true
	request.reply(in.world.settings.Fault.alterReply(in, reply))
}

func (in *instance) releaseRequest(a traffic.Release) {
	if _, ok := in.inbound[a.ID]; !ok {
		in.world.checker.failf(checkReply, "%s releases request %d again", in.id, a.ID)
	}
	delete(in.inbound, a.ID)
}

func (in *instance) broadcastLeaving(a traffic.BroadcastLeaving) {
	for _, peer := range in.world.instancesIn(in.zone) {
		if peer != in {
			in.world.network.send(in.zone, peer.zone, 0, func() { peer.handle(a.Leaving) })
		}
	}
}

// broadcastPoison reports a suspected poison request to the other instances of
// the region and waits until all have received it, up to the timeout.
func (in *instance) broadcastPoison(a traffic.BroadcastPoison) {
	w := in.world
	waiting := 0
	finishIfComplete := func() {
		if waiting == 0 {
			waiting = -1
			in.handle(traffic.BroadcastDone{ID: a.ID})
		}
	}
	for _, peer := range w.instances {
		if peer == in || w.region(peer.zone) != w.region(in.zone) || !peer.alive {
			continue
		}
		waiting++
		w.network.send(in.zone, peer.zone, 0, func() {
			peer.handle(a.Suspect)
			w.network.send(peer.zone, in.zone, 0, func() { waiting--; finishIfComplete() })
		})
	}
	w.clock.After(a.Timeout, func() {
		if waiting > 0 {
			waiting = 0
			finishIfComplete()
		}
	})
	w.clock.After(0, finishIfComplete)
}

// exit stops the process at once. Its callers see a broken connection, unless
// the host is down.
func (in *instance) exit() {
	in.alive, in.pausedAt, in.backlog = false, time.Time{}, nil
	in.unavailableSince = in.world.Now
	for _, id := range in.requestIDs() {
		request := in.inbound[id]
		for _, x := range request.exchanges {
			if !x.ended {
				x.ended = true
				x.abort()
			}
		}
		if !in.hostDown && !request.replied {
			request.onBroken()
		}
	}
	in.inbound = map[traffic.RequestID]*inbound{}
}

// requestIDs returns the IDs of the open requests in ascending order, so that
// runs are deterministic.
func (in *instance) requestIDs() []traffic.RequestID {
	ids := make([]traffic.RequestID, 0, len(in.inbound))
	for id := range in.inbound {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resume ends a pause and handles the events that arrived during it. After a
// pause longer than maxTickGap the instance holds no shard until its leases are
// confirmed a second later.
func (in *instance) resume() {
	gap := in.world.clock.Now.Sub(in.pausedAt)
	in.pausedAt = time.Time{}
	if gap > maxTickGap {
		in.handle(traffic.ShardsChanged{})
		in.world.clock.After(time.Second, func() { in.handle(traffic.ShardsChanged{Held: in.shards}) })
	}
	backlog := in.backlog
	in.backlog = nil
	for _, ev := range backlog {
		in.handle(ev)
	}
}
