package daemon

import (
	"maps"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/telemetry"
)

// controlLoop owns the control engine.
func (d *Daemon) controlLoop() {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case task := <-d.tasks:
			task()
		case event := <-d.events:
			d.act(d.engine.Handle(time.Now(), event))
		case now := <-ticker.C:
			d.act(d.engine.Handle(now, control.InFlight{Requests: d.undrained()}))
			d.act(d.engine.Tick(time.Now()))
		}
	}
}

// inFlight counts requests, those whose body is still arriving included.
func (d *Daemon) inFlight() int { return d.proxy.Active() + d.steer.InFlight() }

// undrained counts the requests that may use a shard which is being given up.
// A leaving instance counts as busy until its ports are closed.
func (d *Daemon) undrained() int {
	switch {
	case !d.view.Load().Leaving:
		return d.steer.InFlightBefore()
	case d.closed.Load():
		return d.inFlight()
	default:
		return d.inFlight() + 1
	}
}

// post passes an event on and waits for room. It returns false when the daemon
// stops.
func (d *Daemon) post(event control.Event) bool {
	select {
	case d.events <- event:
		return true
	case <-d.stop:
		return false
	}
}

// offer passes an event on unless the queue is full.
func (d *Daemon) offer(event control.Event) {
	select {
	case d.events <- event:
	default:
		telemetry.CountEvent("control_event_dropped")
	}
}

// act is called by the control goroutine only.
func (d *Daemon) act(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.SendMessage:
			d.links.Control(a.Address, a.Message)
		case control.Read:
			d.read(a)
		case control.Write:
			d.write(a)
		case control.ListInstances:
			d.listInstances(a)
		case control.FetchObject:
			d.fetchObject(a)
		case control.ActivateDocument:
			d.activate(a.Document)
		case control.ActivateBlocks:
			d.blocks = a.Table
			d.publish(func(v *entry.View) { v.Sites = newSites(d.blocks, v.Document) })
		case control.HoldShards:
			d.hold(a)
		case control.ShowPeers:
			d.showPeers(a.Peers)
		case control.Departed:
			d.depart()
		case control.Log:
			d.log(a)
		}
	}
}

// publish replaces the view; only the control goroutine calls it.
func (d *Daemon) publish(change func(*entry.View)) {
	next := *d.view.Load()
	change(&next)
	next.NoteHolders(d.self.ID, time.Now())
	d.view.Store(&next)
}

func (d *Daemon) activate(doc *document.Compiled) {
	d.publish(func(v *entry.View) {
		v.Document = doc
		v.Sites = newSites(d.blocks, doc)
	})
	d.steer.SetDocument(doc)
	d.poller.SetTargets(d.polled(doc))
	view := d.view.Load()
	d.steerPeers(view)
	telemetry.Event("document_active",
		telemetry.F("instance", d.self.ID), telemetry.F("revision", doc.Revision))
	if _, known := view.Zone(d.self.Zone); !known {
		telemetry.Event("zone_not_in_document",
			telemetry.F("instance", d.self.ID), telemetry.F("zone", d.self.Zone))
	}
}

func (d *Daemon) hold(a control.HoldShards) {
	d.publish(func(v *entry.View) { v.Held = a.Held })
	held := make([]traffic.HeldShard, len(a.Held))
	for i, h := range a.Held {
		held[i] = traffic.HeldShard{Shard: h.Shard, TakenAt: h.TakenAt}
	}
	d.steer.SetShards(held, a.Until)
}

func (d *Daemon) showPeers(peers []control.Peer) {
	d.publish(func(v *entry.View) { v.Peers = peers })
	d.steerPeers(d.view.Load())
}

// steerPeers tells the traffic engine which peers can be forwarded to.
func (d *Daemon) steerPeers(view *entry.View) {
	if view.Document == nil {
		return
	}
	var infos []traffic.PeerInfo
	forward := map[traffic.InstanceID]string{}
	limits := map[string]int{}
	for i := range view.Peers {
		p := &view.Peers[i]
		zone, known := view.Zone(p.Zone)
		if p.Unreachable || p.Forward == "" || !known {
			continue
		}
		id := traffic.InstanceID(p.ID)
		infos = append(infos, traffic.PeerInfo{ID: id, Zone: zone, Shards: p.Shards, Leaving: p.Leaving})
		forward[id] = p.Forward
		limits[p.Forward] = forwardConnections
	}
	d.peers.Keep(limits)
	d.steer.SetPeers(infos, forward)
}

// forwardConnections bounds the connections to the forward port of one peer.
const forwardConnections = 256

func (d *Daemon) log(a control.Log) {
	fields := []telemetry.Field{telemetry.F("instance", d.self.ID)}
	for _, f := range a.Fields {
		fields = append(fields, telemetry.F(f.Key, f.Value))
	}
	telemetry.Event(a.Name, fields...)
}

// depart is called once the engine has given up the shards.
func (d *Daemon) depart() {
	select {
	case <-d.departed:
	default:
		close(d.departed)
	}
}

// keepLinks drops the links to instances that are gone.
func (d *Daemon) keepLinks(view *entry.View) {
	addresses := map[string]bool{}
	for _, seed := range d.settings.Peers {
		addresses[seed] = true
	}
	for i := range view.Peers {
		addresses[view.Peers[i].Address] = true
	}
	d.links.Keep(maps.Clone(addresses))
}
