package control

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

// TickInterval is how often the owner calls Tick.
const TickInterval = 50 * time.Millisecond

// pauseGap is the time between two calls after which this instance may have
// missed an offer of a revision.
const pauseGap = 1 * time.Second

// Engine is the control path of one instance. It is owned by one goroutine.
type Engine struct {
	config  Config
	random  *rand.Rand
	calls   calls
	members *member.Detector
	store   *revision.Store
	keeper  *lease.Keeper

	actions  []Action
	lastSeen time.Time

	join      join
	documents documents
	leases    leases
	blocks    clientBlocks
	leaving   leaving
	shown     shown
}

// shown is what ShowPeers last showed.
type shown struct {
	once    bool
	version uint64
	// active are the revisions that peers said they have active.
	active map[InstanceID]uint64
}

// New returns an Engine that knows no peer and no document.
func New(c Config) *Engine {
	self := member.Record{
		ID: c.ID, Zone: c.Zone, Region: c.Region, Address: c.Address, Caller: c.Caller, Forward: c.Forward,
	}
	e := &Engine{
		config:   c,
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		calls:    newCalls(c.Start),
		members:  member.New(self, c.Seed, c.Start),
		keeper:   lease.New(string(c.ID), c.Address, c.Start),
		lastSeen: c.Start,
		join:     join{since: c.Start},
		blocks:   clientBlocks{last: c.Start},
		shown:    shown{active: map[InstanceID]uint64{}},
	}
	e.store = revision.New(string(c.ID), e.compile)
	return e
}

// Tick runs all systems and returns what to do; the owner calls it each
// TickInterval.
func (e *Engine) Tick(now time.Time) []Action {
	e.observe(now)
	e.calls.refill(now)
	e.expireCalls(now)
	e.tickMembers(now)
	e.tickJoin(now)
	e.tickDocuments(now)
	e.tickLeases(now)
	e.tickBlocks(now)
	e.tickLeaving(now)
	e.showPeers()
	return e.take()
}

// Handle takes one event and returns what to do.
func (e *Engine) Handle(now time.Time, event Event) []Action {
	e.observe(now)
	switch v := event.(type) {
	case MessageReceived:
		e.receive(now, v)
	case PlatformAnswered:
		e.answered(now, v)
	case Leave:
		e.leave(now)
	case InFlight:
		e.inFlight(now, v.Requests)
	}
	return e.take()
}

// observe looks for a gap since the last call: after a long one this instance
// was paused.
func (e *Engine) observe(now time.Time) {
	gap := now.Sub(e.lastSeen)
	e.lastSeen = now
	if gap <= pauseGap {
		return
	}
	e.log("paused", Field{"gap", gap.String()})
	e.keeper.Paused(gap, now)
	e.doubt(now)
}

// doubt makes this instance compare its view of the zone again and run a round
// before it counts as synced.
func (e *Engine) doubt(now time.Time) {
	e.store.Paused()
	e.join = join{since: now, round: e.join.round + 1}
	e.members.ProbeZonePeers(now)
}

func (e *Engine) take() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) log(name string, fields ...Field) {
	e.do(Log{Name: name, Fields: fields})
}

// answered passes the answer of the platform to the system that asked.
func (e *Engine) answered(now time.Time, a PlatformAnswered) {
	ended, ok := e.calls.end(a.ID)
	if !ok {
		return
	}
	e.calls.outcome(ended, a.Err != nil, now)
	e.callEnded(now, ended, a)
}

func (e *Engine) expireCalls(now time.Time) {
	for _, ended := range e.calls.expired(now) {
		e.calls.outcome(ended, true, now)
		e.callEnded(now, ended, PlatformAnswered{ID: ended.id, Err: errNoAnswer})
	}
}

func (e *Engine) callEnded(now time.Time, ended call, a PlatformAnswered) {
	switch ended.purpose {
	case forPoll:
		e.polled(now, ended, a)
	case forSections:
		e.sectionsRead(now, a)
	case forRows:
		e.rowsRead(now, ended, a)
	case forWrite:
		e.rowWritten(now, ended, a)
	case forList:
		e.listed(now, a)
	case forBlocks:
		e.blockFetched(ended, a)
	}
}

// zoneID returns the number of a zone in the active document.
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
