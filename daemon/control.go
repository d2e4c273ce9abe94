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

// controlLoop passes events, tasks and ticks to the control engine. It runs on
// the control goroutine, which is the only user of the engine.
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
			d.dispatch(d.engine.Handle(time.Now(), event))
		case now := <-ticker.C:
			d.dispatch(d.engine.Handle(now, control.InFlight{Requests: d.requestsToDrain()}))
			d.dispatch(d.engine.Tick(time.Now()))
		}
	}
}

// inFlight returns the number of requests in flight, including those whose body
// is still being received.
func (d *Daemon) inFlight() int { return d.proxy.Active() + d.steer.InFlight() }

// requestsToDrain returns the number of requests that may still use a shard that
// this instance gives up. While a leaving instance has open ports, the result is
// at least 1, so that no shard is released before the last request has arrived.
func (d *Daemon) requestsToDrain() int {
	switch {
	case !d.view.Load().Leaving:
		return d.steer.InFlightBeforeShardChange()
	case d.portsClosed.Load():
		return d.inFlight()
	default:
		return d.inFlight() + 1
	}
}

// enqueue passes an event to the control goroutine and waits for space in the
// queue. It returns false if the daemon stops first.
func (d *Daemon) enqueue(event control.Event) bool {
	select {
	case d.events <- event:
		return true
	case <-d.stop:
		return false
	}
}

// tryEnqueue passes an event to the control goroutine. It drops and counts the
// event if the queue is full.
func (d *Daemon) tryEnqueue(event control.Event) {
	select {
	case d.events <- event:
	default:
		telemetry.CountEvent("control_event_dropped")
	}
}

// dispatch executes the actions of the control engine. Only the control
// goroutine calls it.
func (d *Daemon) dispatch(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.SendMessage:
			d.links.SendControl(a.Address, a.Message)
		case control.ReadRows:
			d.readRows(a)
		case control.WriteRow:
			d.writeRow(a)
		case control.ListInstances:
			d.listInstances(a)
		case control.FetchObject:
			d.fetchObject(a)
		case control.ActivateDocument:
			d.activateDocument(a.Document)
		case control.ActivateBlocks:
			d.blocks = a.Table
			d.publish(func(v *entry.View) { v.Sites = newSites(d.blocks, v.Document) })
		case control.HoldShards:
			d.setHeldShards(a)
		case control.PublishPeers:
			d.updatePeers(a.Peers)
		case control.Departed:
			d.markDeparted()
		case control.Log:
			d.logEvent(a)
		}
	}
}

// publish replaces the view by a changed copy. Only the control goroutine calls
// it.
func (d *Daemon) publish(change func(*entry.View)) {
	next := *d.view.Load()
	change(&next)
	next.UpdateHolders(d.self.ID, time.Now())
	d.view.Store(&next)
}

// activateDocument publishes a document and passes it to the traffic engine and
// the health poller.
func (d *Daemon) activateDocument(doc *document.Compiled) {
	d.publish(func(v *entry.View) {
		v.Document = doc
		v.Sites = newSites(d.blocks, doc)
	})
	d.steer.SetDocument(doc)
	d.poller.SetTargets(d.polledTargets(doc))
	view := d.view.Load()
	d.updateForwardPeers(view)
	telemetry.Event("document_active",
		telemetry.F("instance", d.self.ID), telemetry.F("revision", doc.Revision))
	if _, known := view.Zone(d.self.Zone); !known {
		telemetry.Event("zone_not_in_document",
			telemetry.F("instance", d.self.ID), telemetry.F("zone", d.self.Zone))
	}
}

// setHeldShards publishes the held shards and passes them to the traffic engine.
func (d *Daemon) setHeldShards(a control.HoldShards) {
	d.publish(func(v *entry.View) { v.Held = a.Held })
	held := make([]traffic.HeldShard, len(a.Held))
	for i, h := range a.Held {
		held[i] = traffic.HeldShard{Shard: h.Shard, OwnedSince: h.TakenAt}
	}
	d.steer.SetShards(held, a.Until)
}

// updatePeers publishes the live peers and passes them to the traffic engine.
func (d *Daemon) updatePeers(peers []control.Peer) {
	d.publish(func(v *entry.View) { v.Peers = peers })
	d.updateForwardPeers(d.view.Load())
}

// updateForwardPeers passes the reachable peers that accept forwarded requests
// to the traffic engine.
func (d *Daemon) updateForwardPeers(view *entry.View) {
	if view.Document == nil {
		return
	}
	var infos []traffic.PeerInfo
	forward := map[traffic.InstanceID]string{}
	limits := map[string]int{}
	for i := range view.Peers {
		p := &view.Peers[i]
		zone, known := view.Zone(p.Zone)
		if p.Unreachable || p.ForwardAddress == "" || !known {
			continue
		}
		id := traffic.InstanceID(p.ID)
		infos = append(infos, traffic.PeerInfo{ID: id, Zone: zone, Shards: p.Shards, Leaving: p.Leaving})
		forward[id] = p.ForwardAddress
		limits[p.ForwardAddress] = forwardConnections
	}
	d.peerPools.Keep(limits)
	d.steer.SetPeers(infos, forward)
}

// forwardConnections bounds the connections to the forward port of one peer.
const forwardConnections = 256

func (d *Daemon) logEvent(a control.Log) {
	fields := []telemetry.Field{telemetry.F("instance", d.self.ID)}
	for _, f := range a.Fields {
		fields = append(fields, telemetry.F(f.Key, f.Value))
	}
	telemetry.Event(a.Name, fields...)
}

// markDeparted ends the wait of Drain. It is called when the control engine has
// given up the shards, and may be called more than once.
func (d *Daemon) markDeparted() {
	select {
	case <-d.departed:
	default:
		close(d.departed)
	}
}

// closeStaleLinks closes the links to all addresses except those of the seeds in
// the settings and of the live peers.
func (d *Daemon) closeStaleLinks(view *entry.View) {
	addresses := map[string]bool{}
	for _, seed := range d.settings.Peers {
		addresses[seed] = true
	}
	for i := range view.Peers {
		addresses[view.Peers[i].Address] = true
	}
	d.links.Keep(maps.Clone(addresses))
}
