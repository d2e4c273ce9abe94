package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// maxDeferredSteps is how many steps wait for a paused instance. Further ones
// are dropped, since the event queue of the daemon is bounded as well.
const maxDeferredSteps = 200

// instance is one process with a real control engine.
type instance struct {
	world   *world
	id      control.InstanceID
	slot    string // ZONE/N; a process and its successors have the same slot
	zone    int
	address string
	engine  *control.Engine

	startedAt, endedAt time.Time
	dead, departed     bool

	paused              bool
	pausedAt, resumedAt time.Time
	deferredSteps       []func()
	// clockLag is how far the clock of the instance is behind.
	clockLag time.Duration

	active *document.Compiled
	// documentSeen is set when the platform or an instance of the zone has
	// shown a revision of the document to this instance.
	documentSeen bool
	held         []control.HeldShard
	heldUntil    time.Time
	peers        map[control.InstanceID]control.Peer
}

// startInstance starts a process in a slot. If the address is empty, the process
// gets a new one, also when it replaces another process.
func (w *world) startInstance(slot string, zone int, address string) *instance {
	w.startCounts[slot]++
	in := &instance{
		world: w, slot: slot, zone: zone, address: address, startedAt: w.Now,
		id: control.InstanceID(fmt.Sprintf("%s.%d", slot, w.startCounts[slot])),
	}
	if address == "" {
		in.address = fmt.Sprintf("10.0.%d.%d:7000", len(w.instances)/250, len(w.instances)%250+1)
	}
	var seeds []string
	for _, other := range w.instances {
		if !other.dead {
			seeds = append(seeds, other.address)
		}
	}
	in.engine = control.New(control.Config{
		ID: in.id, Zone: w.doc.Zones[zone].Name, Region: w.doc.Regions[w.doc.Zones[zone].Region].Name,
		Address: in.address, CallerAddress: in.address, ForwardAddress: in.address,
		Seeds: seeds, Seed: w.random.Uint64(), Start: w.Now, Compile: w.compile,
	})
	w.instances = append(w.instances, in)
	w.byID[in.id], w.byAddress[in.address], w.newestInSlot[slot] = in, in, in
	first := time.Duration(w.random.Int64N(int64(control.TickInterval)))
	w.Every(first, control.TickInterval, in.tick)
	return in
}

// now returns the time by the clock of the instance.
func (in *instance) now() time.Time { return in.world.Now.Add(-in.clockLag) }

func (in *instance) tick() bool {
	if !in.paused { // Ticks during a pause are dropped, as by the daemon's ticker.
		in.runStep(func() []control.Action {
			in.execute(in.engine.Handle(in.now(), control.InFlight{}))
			return in.engine.Tick(in.now())
		})
	}
	return !in.dead
}

// runStep runs a step of the instance now or, if it is paused, when it resumes.
func (in *instance) runStep(step func() []control.Action) {
	switch {
	case in.dead:
	case !in.paused:
		in.execute(step())
	case len(in.deferredSteps) < maxDeferredSteps:
		in.deferredSteps = append(in.deferredSteps, func() { in.runStep(step) })
	}
}

func (in *instance) receive(from *instance, m control.Message) {
	in.runStep(func() []control.Action {
		in.documentSeen = in.documentSeen || from.zone == in.zone && control.HeaderOf(m).Revision > 0
		return in.engine.Handle(in.now(), control.MessageReceived{From: from.id, Message: m})
	})
}

func (in *instance) execute(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.SendMessage:
			in.world.sendMessage(in, a)
		case control.ReadRows:
			in.world.store.read(in, a)
		case control.WriteRow:
			in.world.store.write(in, a)
		case control.ListInstances:
			in.world.store.list(in, a)
		case control.ActivateDocument:
			in.world.checker.onActivation(in, a.Document)
			in.active = a.Document
		case control.HoldShards:
			in.holdShards(a)
		case control.PublishPeers:
			in.updatePeers(a.Peers)
		case control.Departed:
			in.departed = true
			in.world.logf("%s has left", in.id)
			in.exit()
		case control.Log:
			in.logEvent(a)
		}
	}
}

func (in *instance) holdShards(a control.HoldShards) {
	before := in.held
	in.held, in.heldUntil = a.Held, a.Until
	if !slices.Equal(before, a.Held) {
		var names []string
		for _, h := range a.Held {
			names = append(names, in.world.shardName(h.Shard))
		}
		in.world.logf("%s holds [%s]", in.id, strings.Join(names, " "))
	}
	in.world.checker.onHold(in, before)
}

func (in *instance) updatePeers(peers []control.Peer) {
	shown := map[control.InstanceID]control.Peer{}
	for _, p := range peers {
		shown[p.ID] = p
	}
	for id := range in.peers {
		if _, ok := shown[id]; !ok {
			in.world.checker.onPeerRemoved(in, in.world.byID[id])
		}
	}
	in.peers = shown
}

// reaches reports whether the instance considers another one reachable.
func (in *instance) reaches(id control.InstanceID) bool {
	p, ok := in.peers[id]
	return ok && !p.Unreachable
}

// logEvent logs an event of the engine, except for the events of shards, since
// holdShards logs the held shards.
func (in *instance) logEvent(a control.Log) {
	if a.Name == "shard" {
		return
	}
	text := a.Name
	for _, f := range a.Fields {
		text += " " + f.Key + "=" + f.Value
	}
	in.world.logf("%s %s", in.id, text)
}

// usesShard reports whether the instance may send requests on a shard now. Even a
// process that has not noticed its pause checks heldUntil.
func (in *instance) usesShard(shard document.ShardID) bool {
	if in.dead || in.paused || in.now().After(in.heldUntil) {
		return false
	}
	return slices.ContainsFunc(in.held, func(h control.HeldShard) bool { return h.Shard == shard })
}

func (in *instance) exit() {
	in.dead, in.endedAt = true, in.world.Now
	if in.world.byAddress[in.address] == in {
		delete(in.world.byAddress, in.address)
	}
}

func (in *instance) kill() {
	if !in.dead {
		in.world.checker.onAbruptStop(in)
		in.exit()
		in.world.awaitDeath(in)
	}
}

func (in *instance) leave() {
	in.runStep(func() []control.Action { return in.engine.Handle(in.now(), control.Leave{}) })
}

func (in *instance) pause() {
	if !in.dead && !in.paused {
		in.world.checker.onAbruptStop(in)
		in.paused, in.pausedAt = true, in.world.Now
	}
}

func (in *instance) resume() {
	if in.dead || !in.paused {
		return
	}
	if in.world.settings.fault == faultTwoHolders {
		in.clockLag += in.world.Now.Sub(in.pausedAt)
	}
	in.paused, in.resumedAt = false, in.world.Now
	in.world.checker.findShardUsers()
	steps := in.deferredSteps
	in.deferredSteps = nil
	for _, step := range steps {
		step()
	}
}
