package traffic

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
	"pistachioford.example/core/route"
)

// Config identifies the instance to its Engine.
type Config struct {
	Self   InstanceID
	Zone   string
	Region string
	// Seed makes random choices reproducible.
	Seed uint64
	// Keys bounds the records of idempotency keys; zero for the default.
	Keys idempotency.Limits
}

// Engine decides the path of each request. Requests, services, groups and peers
// are rows of its tables; Handle and Tick run over them.
type Engine struct {
	config      Config
	random      *rand.Rand
	actions     []Action
	doc         *document.Compiled
	previousDoc *document.Compiled
	zone        document.ZoneID
	region      document.RegionID
	// located is false while the document does not list the instance's zone.
	located  bool
	draining bool

	requests   requestTable
	timers     []int32 // rows of requests that wait for a backoff, a broadcast or a key
	services   serviceTable
	groups     groupTable
	heldShards []HeldShard
	targets    *route.Table
	peers      peerTable
	links      linkTable
	shifts     []shiftState // by service row and region
	// shiftRegions is the number of regions in shifts.
	shiftRegions  int
	keys          *idempotency.Store
	poison        *idempotency.PoisonDetector
	lastBroadcast BroadcastID
}

// New returns an Engine without a document: it refuses every request.
func New(config Config) *Engine {
	if config.Keys == (idempotency.Limits{}) {
		config.Keys = idempotency.DefaultLimits
	}
	return &Engine{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		requests: newRequestTable(),
		targets:  route.New(config.Seed),
		keys:     idempotency.NewStore(config.Keys),
		poison:   idempotency.NewPoisonDetector(),
	}
}

// Handle processes one event and returns the resulting actions. The slice is
// valid until the next call of Handle or Tick.
func (e *Engine) Handle(now time.Time, ev Event) []Action {
	e.actions = e.actions[:0]
	switch ev := ev.(type) {
	case RequestArrived:
		e.requestArrived(now, &ev)
	case RequestCanceled:
		e.cancel(now, ev.ID)
	case ExchangeEnded:
		e.exchangeEnded(now, &ev)
	case ResponseStarted:
		e.responseStarted(now, &ev)
	case LoadReported:
		e.targets.ReportLoad(ev.Target, ev.Utilization, ev.At)
	case TargetLeaving:
		e.targetLeaving(ev)
	case TargetReturned:
		e.targets.ClearLeaving(now, ev.Target)
	case DocumentChanged:
		e.changeDocument(now, ev.Document)
	case ShardsChanged:
		e.changeShards(now, ev.Held)
	case PeersChanged:
		e.changePeers(ev.Peers)
	case PeerLoad:
		e.peers.updateLoad(now, ev)
	case PoisonSuspected:
		e.poisonReported(now, ev)
	case BroadcastDone:
		e.broadcastDone(now, ev.ID)
	case Draining:
		e.draining = true
	}
	return e.actions
}

// Tick performs the work that depends on time: ejections, timers, queue expiry,
// dispatch and forwarding of queued requests. The daemon calls it every 10 ms.
// The slice is valid until the next call of Handle or Tick.
func (e *Engine) Tick(now time.Time) []Action {
	e.actions = e.actions[:0]
	e.countEjections(now)
	e.runTimers(now)
	for g := range e.groups.rows {
		e.expireQueue(now, int32(g))
		e.dispatch(now, int32(g))
		e.forwardQueued(now, int32(g))
	}
	return e.actions
}

// Idle reports whether no request and no exchange is left; a leaving instance
// then releases its shards.
func (e *Engine) Idle() bool { return len(e.requests.byID) == 0 }

// Requests returns the number of requests in the Engine.
func (e *Engine) Requests() int { return len(e.requests.byID) }

// LoadHint returns the load hint for peers: the free slots and the estimated
// wait of each group, by document.GroupID. The daemon sends it every 200 ms.
func (e *Engine) LoadHint(now time.Time) PeerLoad {
	load := PeerLoad{Peer: e.config.Self, At: now}
	if e.doc == nil {
		return load
	}
	load.Free = make([]uint16, len(e.doc.Groups))
	load.Wait = make([]time.Duration, len(e.doc.Groups))
	for g := range e.doc.Groups {
		row := e.groups.byID[g]
		load.Free[g] = e.advertisedSlots(row)
		load.Wait[g] = min(e.waitHere(row, document.Normal), maxWait)
	}
	return load
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) count(kind CountKind, reason Reason) {
	e.emit(IncrementCounter{Kind: kind, Reason: reason})
}

// countEjections counts the targets that the routing table ejected.
func (e *Engine) countEjections(now time.Time) {
	for _, ejected := range e.targets.Tick(now) {
		reason := ReasonErrors
		if ejected.Cause == route.CauseLatency {
			reason = ReasonLatency
		}
		e.count(CountEjection, reason)
	}
}
