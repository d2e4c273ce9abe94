package entry

import (
	"slices"
	"sync"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

// Broadcaster sends news to other instances. Its methods are called with the
// engine locked: they must not block and must not call Steer directly.
type Broadcaster interface {
	Poison(traffic.BroadcastPoison)
	Leaving(traffic.BroadcastLeaving)
}

// Steer guards the traffic engine and passes its actions to the goroutines of
// the requests. It is safe for concurrent use.
type Steer struct {
	targets   *upstream.Pools
	peers     *upstream.Pools
	broadcast Broadcaster

	mu       sync.Mutex
	engine   *traffic.Engine
	document *document.Compiled
	pools    []*upstream.Pool // by target of document
	forward  map[traffic.InstanceID]string
	requests map[traffic.RequestID]*request
	lastID   traffic.RequestID
	// heldUntil is when the shards must no longer be used.
	heldUntil time.Time
	held      []traffic.HeldShard
	// heldSince is the last request that arrived before held changed.
	heldSince traffic.RequestID
}

// NewSteer returns a Steer around engine, which it then owns.
func NewSteer(engine *traffic.Engine, targets, peers *upstream.Pools, b Broadcaster) *Steer {
	return &Steer{
		targets:   targets,
		peers:     peers,
		broadcast: b,
		engine:    engine,
		requests:  map[traffic.RequestID]*request{},
	}
}

// handle is called with the engine locked. Shards whose time is up are dropped
// first: after a pause of the process they may have another holder.
func (s *Steer) handle(ev traffic.Event) {
	now := time.Now()
	s.dropLapsed(now)
	s.dispatch(s.engine.Handle(now, ev))
}

func (s *Steer) dropLapsed(now time.Time) {
	if len(s.held) > 0 && now.After(s.heldUntil) {
		s.held = nil
		s.dispatch(s.engine.Handle(now, traffic.ShardsChanged{}))
	}
}

// Handle passes an event to the engine and its actions on.
func (s *Steer) Handle(ev traffic.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle(ev)
}

// Tick runs the engine's systems; the daemon calls it every 10 ms.
func (s *Steer) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropLapsed(now)
	s.dispatch(s.engine.Tick(now))
}

// SetDocument puts a document in force.
func (s *Steer) SetDocument(doc *document.Compiled) {
	s.targets.Keep(connectionLimits(doc))
	pools := make([]*upstream.Pool, len(doc.Targets))
	for i := range doc.Targets {
		pools[i] = s.targets.Get(doc.Targets[i].Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document, s.pools = doc, pools
	s.handle(traffic.DocumentChanged{Document: doc})
}

// SetPeers replaces the live peers; forward holds their forward addresses.
func (s *Steer) SetPeers(peers []traffic.PeerInfo, forward map[traffic.InstanceID]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forward = forward
	s.handle(traffic.PeersChanged{Peers: peers})
}

// SetShards replaces the held shards, which must not be used after until.
func (s *Steer) SetShards(held []traffic.HeldShard, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil = until
	if slices.Equal(s.held, held) {
		return
	}
	s.held = held
	s.heldSince = s.lastID
	s.dispatch(s.engine.Handle(time.Now(), traffic.ShardsChanged{Held: held}))
}

// Load returns the hint for peers and the revision that its groups refer to.
func (s *Steer) Load() (traffic.PeerLoad, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return traffic.PeerLoad{}, 0
	}
	return s.engine.Load(time.Now()), s.document.Revision
}

// HandleFor passes an event that refers to targets of doc, unless another
// document is in force by now.
func (s *Steer) HandleFor(doc *document.Compiled, ev traffic.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == doc {
		s.handle(ev)
	}
}

// InFlight returns the number of requests that the engine knows.
func (s *Steer) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// InFlightBefore returns the number of requests that arrived before the held
// shards last changed. Later ones do not use a shard that was given up then, so
// that a shard can move under a load that never ends.
func (s *Steer) InFlightBefore() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for id := range s.requests {
		if id <= s.heldSince {
			before++
		}
	}
	return before
}

// arrive starts a request; its goroutine then waits on the inbox.
func (s *Steer) arrive(r *request, ev traffic.RequestArrived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	r.id = s.lastID
	ev.ID = r.id
	s.requests[r.id] = r
	s.handle(ev)
}

// dispatch is called with the engine locked, since the actions are valid only
// until its next call.
func (s *Steer) dispatch(actions []traffic.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case traffic.Send:
			s.send(a)
		case traffic.Forward:
			s.forwardTo(a)
		case traffic.CancelExchange:
			s.cancel(a)
		case traffic.Reply:
			s.put(a.ID, step{kind: stepReply, reply: a})
		case traffic.Release:
			s.put(a.ID, step{kind: stepRelease})
			delete(s.requests, a.ID)
		case traffic.BroadcastPoison:
			s.broadcast.Poison(a)
		case traffic.BroadcastLeaving:
			s.broadcast.Leaving(a)
		case traffic.Count:
			telemetry.Count(a)
		}
	}
}

func (s *Steer) put(id traffic.RequestID, next step) {
	if r := s.requests[id]; r != nil {
		r.inbox <- next
	}
}

func (s *Steer) send(a traffic.Send) {
	r := s.requests[a.ID]
	if r == nil {
		return
	}
	try := r.nextAttempt()
	try.number, try.deadline = a.Attempt, a.Deadline
	try.pool = s.poolOf(a)
	try.shedStatuses = s.shedStatuses(a.Target)
	r.start(try)
}

// poolOf saves a locked look-up where the target is that of the document.
func (s *Steer) poolOf(a traffic.Send) *upstream.Pool {
	if int(a.Target) < len(s.pools) && s.document.Targets[a.Target].Address == a.Address {
		return s.pools[a.Target]
	}
	return s.targets.Get(a.Address)
}

func (s *Steer) forwardTo(a traffic.Forward) {
	r := s.requests[a.ID]
	if r == nil {
		return
	}
	try := r.nextAttempt()
	try.number, try.deadline = a.Attempt, a.Deadline
	try.forwarded, try.forward = true, a
	if address := s.forward[a.Peer]; address != "" {
		try.pool = s.peers.Get(address)
	}
	r.start(try)
}

// start is called with the engine locked.
func (r *request) start(try *attempt) {
	r.current = try
	r.inbox <- step{kind: stepAttempt, attempt: try}
}

func (s *Steer) cancel(a traffic.CancelExchange) {
	r := s.requests[a.ID]
	if r == nil || r.current == nil || r.current.number != a.Attempt {
		return
	}
	r.current.exchange.Cancel()
	r.stopUpload()
}

func (s *Steer) shedStatuses(id document.TargetID) []int {
	if s.document == nil || int(id) >= len(s.document.Targets) {
		return nil
	}
	return s.document.Groups[s.document.Targets[id].Group].ShedStatuses
}

// connectionLimits gives each instance its part of a target's connections.
func connectionLimits(doc *document.Compiled) map[string]int {
	limits := make(map[string]int, len(doc.Targets))
	for i := range doc.Targets {
		t := &doc.Targets[i]
		shards := max(int(doc.Zones[t.Zone].Shards), 1)
		part := max(int(t.Connections)/shards, int(t.Slots), 1)
		limits[t.Address] += part
	}
	return limits
}
