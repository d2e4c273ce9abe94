package control

import (
	"math/rand/v2"
	"time"

	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
)

// TickInterval is how often the owner calls Tick.
const TickInterval = 50 * time.Millisecond

// Engine is the control path of one instance. It is owned by one goroutine.
type Engine struct {
	config  Config
	random  *rand.Rand
	calls   calls
	members *member.Detector
	thin    thin

	actions  []Action
	lastSeen time.Time
	shown    uint64
	showed   bool
	joined   time.Time
}

// New returns an Engine that knows no peer and no document.
func New(c Config) *Engine {
	self := member.Record{
		ID: c.ID, Zone: c.Zone, Region: c.Region, Address: c.Address, Caller: c.Caller, Forward: c.Forward,
	}
	return &Engine{
		config:   c,
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		calls:    newCalls(c.Start),
		members:  member.New(self, c.Seed, c.Start),
		lastSeen: c.Start,
	}
}

// Tick runs all systems and returns what to do; the owner calls it each
// TickInterval.
func (e *Engine) Tick(now time.Time) []Action {
	e.lastSeen = now
	e.calls.refill(now)
	e.tickMembers(now)
	e.thin.tick(e, now)
	e.showPeers()
	return e.take()
}

// Handle takes one event and returns what to do.
func (e *Engine) Handle(now time.Time, event Event) []Action {
	switch v := event.(type) {
	case MessageReceived:
		e.receive(now, v)
	case PlatformAnswered:
		if ended, ok := e.calls.end(v.ID); ok {
			e.calls.outcome(ended, v.Err != nil, now)
			e.thin.answered(e, now, ended, v)
		}
	}
	e.showPeers()
	return e.take()
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

// rows returns the keys of the shards of the own zone.
func (e *Engine) rowKeys(shards uint16) []string {
	keys := make([]string, shards)
	for i := range keys {
		keys[i] = lease.Key(e.config.Zone, uint16(i))
	}
	return keys
}
