package control

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

// TickInterval is the time between two calls of Tick by the owner.
const TickInterval = 50 * time.Millisecond

// pauseThreshold is the longest time between two calls of the Engine that is not
// treated as a pause. After a pause this instance may have missed an offer of a
// revision.
const pauseThreshold = 1 * time.Second

// Engine is the control path of one instance. It is owned by one goroutine,
// which passes each Event to Handle, calls Tick every TickInterval and carries
// out the Actions that both return.
type Engine struct {
	config       Config
	random       *rand.Rand
	calls        calls
	members      *member.Detector
	store        *revision.Store
	leaseManager *lease.Manager

	actions  []Action
	lastCall time.Time

	join      joinState
	documents documentState
	leases    leaseState
	blocks    clientBlocks
	leaving   leavingState
	published publishedPeers
}

// publishedPeers is the state of the peer list that PublishPeers hands out.
type publishedPeers struct {
	// upToDate is cleared to hand out the list again although version, the
	// version of the members, is unchanged.
	upToDate bool
	version  uint64
	// revisions holds the active revision that each peer last reported.
	revisions map[InstanceID]uint64
}

// New returns an Engine that knows no peer and no document.
func New(c Config) *Engine {
	self := member.Record{
		ID: c.ID, Zone: c.Zone, Region: c.Region, Address: c.Address, CallerAddress: c.CallerAddress, ForwardAddress: c.ForwardAddress,
	}
	e := &Engine{
		config:       c,
		random:       rand.New(rand.NewPCG(c.Seed, 1)),
		calls:        newCalls(c.Start),
		members:      member.New(self, c.Seed, c.Start),
		leaseManager: lease.New(string(c.ID), c.Address, c.Start),
		lastCall:     c.Start,
		join:         joinState{started: c.Start},
		blocks:       clientBlocks{lastRefill: c.Start},
		published:    publishedPeers{revisions: map[InstanceID]uint64{}},
	}
	e.store = revision.New(string(c.ID), e.compile)
	return e
}

// Tick advances all systems and returns the actions to carry out. The owner
// calls it every TickInterval.
func (e *Engine) Tick(now time.Time) []Action {
	e.detectPause(now)
	e.calls.refill(now)
	e.expireCalls(now)
	e.tickMembers(now)
	e.tickJoin(now)
	e.tickDocuments(now)
	e.tickLeases(now)
	e.tickBlocks(now)
	e.tickLeaving(now)
	e.publishPeers()
	return e.takeActions()
}

// Handle processes one event and returns the actions to carry out.
func (e *Engine) Handle(now time.Time, event Event) []Action {
	e.detectPause(now)
	switch v := event.(type) {
	case MessageReceived:
		e.receive(now, v)
	case PlatformAnswered:
		e.platformAnswered(now, v)
	case Leave:
		e.leave(now)
	case InFlight:
		e.recordInFlight(now, v.Requests)
	}
	return e.takeActions()
}

// detectPause treats a gap since the last call that is longer than pauseThreshold
// as a pause of this instance.
func (e *Engine) detectPause(now time.Time) {
	gap := now.Sub(e.lastCall)
	e.lastCall = now
	if gap <= pauseThreshold {
		return
	}
	e.log("paused", Field{"gap", gap.String()})
	e.leaseManager.Paused(gap, now)
	e.resync(now)
}

// resync makes this instance compare its view of the zone with other instances
// again and complete a round of offers before it is treated as synced.
func (e *Engine) resync(now time.Time) {
	e.store.Paused()
	e.join = joinState{started: now, round: e.join.round + 1}
	e.members.ProbeZonePeers(now)
}

func (e *Engine) takeActions() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) log(name string, fields ...Field) {
	e.emit(Log{Name: name, Fields: fields})
}

// platformAnswered passes the response of the platform to the system that
// started the call. It ignores responses to calls that are no longer in flight.
func (e *Engine) platformAnswered(now time.Time, a PlatformAnswered) {
	ended, ok := e.calls.end(a.ID)
	if !ok {
		return
	}
	e.calls.recordOutcome(ended, a.Err != nil, now)
	e.callEnded(now, ended, a)
}

func (e *Engine) expireCalls(now time.Time) {
	for _, ended := range e.calls.removeExpired(now) {
		e.calls.recordOutcome(ended, true, now)
		e.callEnded(now, ended, PlatformAnswered{ID: ended.id, Err: errNoResponse})
	}
}

func (e *Engine) callEnded(now time.Time, ended call, a PlatformAnswered) {
	switch ended.purpose {
	case purposeHeadPoll:
		e.headRead(now, ended, a)
	case purposeSections:
		e.sectionsRead(now, a)
	case purposeLeaseRows:
		e.leaseRowsRead(now, ended, a)
	case purposeLeaseWrite:
		e.leaseRowWritten(now, ended, a)
	case purposeInstanceList:
		e.instancesListed(now, a)
	case purposeBlocks:
		e.blockObjectFetched(ended, a)
	}
}

// zoneID returns the number of a zone in the active document, and false if
// there is no active document or it does not name the zone.
func (e *Engine) zoneID(name string) (document.ZoneID, bool) {
	if e.documents.active == nil {
		return 0, false
	}
	for i := range e.documents.active.Zones {
		if e.documents.active.Zones[i].Name == name {
			return document.ZoneID(i), true
		}
	}
	return 0, false
}
