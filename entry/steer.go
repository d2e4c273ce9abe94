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

// Broadcaster sends notifications to other instances. Its methods are called
// with the engine locked: they must neither block nor call Steer directly.
type Broadcaster interface {
	Poison(traffic.BroadcastPoison)
	Leaving(traffic.BroadcastLeaving)
}

// Steer serializes access to the traffic engine and passes the engine's actions
// to the goroutines of the requests. It is safe for concurrent use.
type Steer struct {
	targetPools *upstream.Pools
	peerPools   *upstream.Pools
	broadcaster Broadcaster

	mu               sync.Mutex
	engine           *traffic.Engine
	document         *document.Compiled
	poolsByTarget    []*upstream.Pool // indexed by target ID of document
	forwardAddresses map[traffic.InstanceID]string
	requests         map[traffic.RequestID]*request
	lastID           traffic.RequestID
	// shardsValidUntil is when heldShards must no longer be used.
	shardsValidUntil time.Time
	heldShards       []traffic.HeldShard
	// lastIDBeforeChange is the last request that arrived before SetShards last
	// changed heldShards.
	lastIDBeforeChange traffic.RequestID
}

// NewSteer returns a Steer that takes ownership of engine.
func NewSteer(engine *traffic.Engine, targets, peers *upstream.Pools, broadcaster Broadcaster) *Steer {
	return &Steer{
		targetPools: targets,
		peerPools:   peers,
		broadcaster: broadcaster,
		engine:      engine,
		requests:    map[traffic.RequestID]*request{},
	}
}

// handleLocked passes ev to the engine and dispatches the resulting actions. It
// must be called with the engine locked. Expired shards are dropped first: after
// a pause of the process they may have another holder.
func (s *Steer) handleLocked(ev traffic.Event) {
	now := time.Now()
	s.dropExpiredShards(now)
	s.dispatch(s.engine.Handle(now, ev))
}

func (s *Steer) dropExpiredShards(now time.Time) {
	if len(s.heldShards) > 0 && now.After(s.shardsValidUntil) {
		s.heldShards = nil
		s.dispatch(s.engine.Handle(now, traffic.ShardsChanged{}))
	}
}

// Handle passes an event to the engine and dispatches the resulting actions.
func (s *Steer) Handle(ev traffic.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleLocked(ev)
}

// Tick runs the periodic work of the engine; the daemon calls it every 10 ms.
func (s *Steer) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpiredShards(now)
	s.dispatch(s.engine.Tick(now))
}

// SetDocument makes doc the active document.
func (s *Steer) SetDocument(doc *document.Compiled) {
	s.targetPools.Keep(connectionLimits(doc))
	pools := make([]*upstream.Pool, len(doc.Targets))
	for i := range doc.Targets {
		pools[i] = s.targetPools.Get(doc.Targets[i].Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document, s.poolsByTarget = doc, pools
	s.handleLocked(traffic.DocumentChanged{Document: doc})
}

// SetPeers replaces the live peers and the addresses of their forward ports.
func (s *Steer) SetPeers(peers []traffic.PeerInfo, forwardAddresses map[traffic.InstanceID]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwardAddresses = forwardAddresses
	s.handleLocked(traffic.PeersChanged{Peers: peers})
}

// SetShards replaces the held shards, which must not be used after validUntil.
func (s *Steer) SetShards(held []traffic.HeldShard, validUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shardsValidUntil = validUntil
	if slices.Equal(s.heldShards, held) {
		return
	}
	s.heldShards = held
	s.lastIDBeforeChange = s.lastID
	s.dispatch(s.engine.Handle(time.Now(), traffic.ShardsChanged{Held: held}))
}

// LoadHint returns the load hint for peers and the document revision that its
// groups refer to. The revision is 0 if no document is active.
func (s *Steer) LoadHint() (traffic.PeerLoad, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil {
		return traffic.PeerLoad{}, 0
	}
	return s.engine.LoadHint(time.Now()), s.document.Revision
}

// HandleForDocument passes on an event that refers to targets of doc, unless
// another document has become active in the meantime.
func (s *Steer) HandleForDocument(doc *document.Compiled, ev traffic.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == doc {
		s.handleLocked(ev)
	}
}

// InFlight returns the number of requests that the engine has not released.
func (s *Steer) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// InFlightBeforeShardChange returns the number of requests in flight that
// arrived before SetShards last changed the held shards. Later requests do not
// use a shard that was given up then, so a shard can move even while new
// requests keep arriving.
func (s *Steer) InFlightBeforeShardChange() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for id := range s.requests {
		if id <= s.lastIDBeforeChange {
			before++
		}
	}
	return before
}

// startRequest passes a new request to the engine. The goroutine of the request
// then waits for steps on the inbox.
func (s *Steer) startRequest(r *request, ev traffic.RequestArrived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	r.id = s.lastID
	ev.ID = r.id
	s.requests[r.id] = r
	s.handleLocked(ev)
}

// dispatch carries out the actions of the engine. It must be called with the
// engine locked, since the actions are valid only until the next engine call.
func (s *Steer) dispatch(actions []traffic.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case traffic.Send:
			s.send(a)
		case traffic.Forward:
			s.forwardTo(a)
		case traffic.CancelExchange:
			s.cancelExchange(a)
		case traffic.Reply:
			s.enqueue(a.ID, step{kind: stepReply, reply: a})
		case traffic.Release:
			s.enqueue(a.ID, step{kind: stepRelease})
			delete(s.requests, a.ID)
		case traffic.BroadcastPoison:
			s.broadcaster.Poison(a)
		case traffic.BroadcastLeaving:
			s.broadcaster.Leaving(a)
		case traffic.IncrementCounter:
			telemetry.Count(a)
		}
	}
}

func (s *Steer) enqueue(id traffic.RequestID, next step) {
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
	try.pool = s.targetPool(a)
	try.shedStatuses = s.shedStatuses(a.Target)
	r.startAttempt(try)
}

// targetPool returns the pool for the address in a. It avoids the lookup in
// targetPools, which takes a lock, if that is the target's address in document.
func (s *Steer) targetPool(a traffic.Send) *upstream.Pool {
	if int(a.Target) < len(s.poolsByTarget) && s.document.Targets[a.Target].Address == a.Address {
		return s.poolsByTarget[a.Target]
	}
	return s.targetPools.Get(a.Address)
}

func (s *Steer) forwardTo(a traffic.Forward) {
	r := s.requests[a.ID]
	if r == nil {
		return
	}
	try := r.nextAttempt()
	try.number, try.deadline = a.Attempt, a.Deadline
	try.forwarded, try.forward = true, a
	if address := s.forwardAddresses[a.Peer]; address != "" {
		try.pool = s.peerPools.Get(address)
	}
	r.startAttempt(try)
}

// startAttempt hands an attempt to the goroutine of the request. It must be
// called with the engine locked.
func (r *request) startAttempt(try *attempt) {
	r.currentAttempt = try
	r.inbox <- step{kind: stepAttempt, attempt: try}
}

func (s *Steer) cancelExchange(a traffic.CancelExchange) {
	r := s.requests[a.ID]
	if r == nil || r.currentAttempt == nil || r.currentAttempt.number != a.Attempt {
		return
	}
	r.currentAttempt.exchange.Cancel()
	r.abortUpload()
}

func (s *Steer) shedStatuses(id document.TargetID) []int {
	if s.document == nil || int(id) >= len(s.document.Targets) {
		return nil
	}
	return s.document.Groups[s.document.Targets[id].Group].ShedStatuses
}

// connectionLimits returns the connection limit of each address: this instance's
// share of the connections of each target there, but at least the target's slots.
func connectionLimits(doc *document.Compiled) map[string]int {
	limits := make(map[string]int, len(doc.Targets))
	for i := range doc.Targets {
		t := &doc.Targets[i]
		shards := max(int(doc.Zones[t.Zone].Shards), 1)
		share := max(int(t.Connections)/shards, int(t.Slots), 1)
		limits[t.Address] += share
	}
	return limits
}
