package lease

import (
	"time"
)

// Timing of the leases.
const (
	// Term is the length of a lease, counted from when the write of its row was
	// sent.
	Term = 10 * time.Second
	// renewInterval is the minimum time between two renewals of one shard. An
	// instance may write only once in two seconds, so with several shards the
	// time is renewPerShard for each shard held. A lease that is renewed after
	// its expiry is not lost before the quarantine has passed.
	renewInterval = 3 * time.Second
	renewPerShard = 2200 * time.Millisecond
	// MaxPause is the longest gap between two ticks after which a holder may go
	// on using its shards without confirmation: the term less a margin of 2 s.
	MaxPause = Term - 2*time.Second
	// maxClockSkew is the largest difference expected between the clocks of two
	// instances.
	maxClockSkew = 2 * time.Second
	// DefaultQuarantine applies if the document states no quarantine or one that
	// is shorter than Term.
	DefaultQuarantine = 30 * time.Second

	readInterval  = 5 * time.Second
	retryInterval = 1 * time.Second
	// rankDelay is the delay per rank before a candidate takes a shard. It keeps
	// candidates from writing at the same time.
	rankDelay = 3 * time.Second
	// fairnessDelay is the additional delay while a zone peer holds fewer shards
	// than this instance, so that the zone peer can take the shard.
	fairnessDelay = 10 * time.Second
)

// state is the state of a shard's lease at this instance.
type state uint8

const (
	// notHeld: this instance neither holds the shard nor is taking it.
	notHeld state = iota
	// taking: the write that makes this instance the holder is pending.
	taking
	// holding: this instance uses the shard.
	holding
	// resuming: this instance was paused while it held the shard, and does not
	// use it until the lease is confirmed.
	resuming
	// draining: this instance stopped using the shard; requests may still be in
	// flight.
	draining
	// handingOver: the shard was offered to a zone peer, which may already use
	// it.
	handingOver
	// releasing: the write that releases the row is pending.
	releasing
)

// shard is what a Manager knows of one shard.
type shard struct {
	index uint16
	state state

	// row and version are the last known state of the row; they are valid only
	// if known is set. readAt is when the last read of it was sent.
	known   bool
	row     Row
	version uint64
	readAt  time.Time

	// epoch is the epoch under which this instance holds or last held the shard;
	// a refused handover raises it. takenAt is when that use started, changedAt
	// when state was last set.
	epoch     uint64
	takenAt   time.Time
	changedAt time.Time
	// baseRow is a row of an earlier epoch that is still treated as held by this
	// instance: that of the zone peer that handed the shard over, or the last
	// known one before a refused handover raised the epoch. handedBy is that
	// zone peer; its last renewal may show up in the row later.
	baseRow  Row
	handedBy string

	lastWrite rowWrite
	// outcomeUnknown is set when lastWrite ended without a confirmation, until a
	// read shows the row.
	outcomeUnknown bool

	// silentSince is the start of the current window without signs of use, zero
	// outside of a window. takeableSince is since when the shard may be taken.
	silentSince   time.Time
	takeableSince time.Time
	probedAt      time.Time
	// unusedAt is when each zone peer last answered that it does not use the
	// shard.
	unusedAt map[string]time.Time
	// pausedAt is when the pause began that suspended the shard.
	pausedAt      time.Time
	confirmedBy   map[string]bool
	confirmSentAt time.Time
	confirmRound  uint64

	// yielded is set when a paused holder no longer keeps others from taking the
	// shard; it then resumes only if no other instance took the shard.
	yielded bool

	// successor is the zone peer to which the shard is being handed over.
	// refusedBy are the zone peers that refused it.
	successor      string
	refusedBy      map[string]bool
	handoverSentAt time.Time
	// lastHandoverEpoch is the highest epoch of a handover that was received or
	// answered, acceptedEpoch that of the last one accepted.
	lastHandoverEpoch uint64
	acceptedEpoch     uint64
}

// rowWrite is the last write of a row.
type rowWrite struct {
	inFlight bool
	sentAt   time.Time
	row      Row
	// stale is set by a pause longer than MaxPause after the write was sent.
	stale bool
}

// ZonePeer is another instance of the own zone.
type ZonePeer struct {
	ID      string
	Address string
	Leaving bool
	// Removed is set if the instance died within the quarantine, at RemovedAt.
	Removed   bool
	RemovedAt time.Time
	Shards    []Claim
}

// Claim is a shard that an instance says it uses.
type Claim struct {
	Index uint16
	Epoch uint64
}

func (p *ZonePeer) claims(index uint16) bool {
	for _, c := range p.Shards {
		if c.Index == index {
			return true
		}
	}
	return false
}

// View is what the Manager needs to know of the zone and the platform at a
// tick.
type View struct {
	// ZonePeers are the other instances of the own zone that are alive or died
	// within the quarantine.
	ZonePeers []ZonePeer
	// Fresh is set once the view of the zone is complete, after the start and
	// after each pause.
	Fresh bool
	// Leaving is set when this instance departs.
	Leaving bool
	// Drained is when the daemon last reported no request in flight. It is zero
	// after a report of some.
	Drained time.Time
	// Down is set when the platform does not respond.
	Down bool
	// Quarantine is how long after the expiry another instance waits before it
	// takes the shard. It is at least the longest deadline in the document.
	Quarantine time.Duration
	// Shards is the number of shards of the zone.
	Shards uint16
}

// Manager manages the shard leases of one instance. It is not safe for
// concurrent use.
type Manager struct {
	self       string
	address    string
	shards     []shard
	view       View
	readSentAt time.Time
	reading    bool
	// observingSince is when this instance started or last ended a pause.
	observingSince time.Time
	// unbalancedSince is when rebalance first found a zone peer with at least two
	// shards fewer, zero if it found none.
	unbalancedSince time.Time
	outputs         []Output
}

// Kind is the kind of an Output.
type Kind uint8

// Kinds of outputs.
const (
	// ReadRows reads the rows of all shards of the zone.
	ReadRows Kind = iota
	// WriteRow writes Row if the version of the row is still Version.
	WriteRow
	// SendProbe asks To whether it uses the shard.
	SendProbe
	// SendConfirm asks To to confirm that no other instance took the shard during
	// a pause.
	SendConfirm
	// SendHandover offers the shard to To.
	SendHandover
	// ShardsChanged reports that the held or claimed shards may have changed.
	ShardsChanged
	// LogEvent reports a change of a shard with its reason, for the log.
	LogEvent
)

// Output is an action that the Manager asks its caller to carry out.
type Output struct {
	Kind    Kind
	Index   uint16
	To      string
	Address string
	Row     Row
	Version uint64
	Epoch   uint64
	Round   uint64
	Text    string
}

// Held is a shard that this instance uses.
type Held struct {
	Index   uint16
	Epoch   uint64
	TakenAt time.Time
}

// New returns a Manager that holds no shard.
func New(self, address string, now time.Time) *Manager {
	return &Manager{self: self, address: address, observingSince: now}
}

// Held returns the shards that this instance uses.
func (m *Manager) Held() []Held {
	var held []Held
	for i := range m.shards {
		if s := &m.shards[i]; s.state == holding {
			held = append(held, Held{Index: s.index, Epoch: s.epoch, TakenAt: s.takenAt})
		}
	}
	return held
}

// Claims returns the shards that this instance uses or may use.
func (m *Manager) Claims() []Claim {
	var claims []Claim
	for i := range m.shards {
		if s := &m.shards[i]; s.state != notHeld && s.state != taking && !s.yielded {
			claims = append(claims, Claim{Index: s.index, Epoch: s.epoch})
		}
	}
	return claims
}

// TakeOutputs returns the outputs since the last call and clears them.
func (m *Manager) TakeOutputs() []Output {
	out := m.outputs
	m.outputs = nil
	return out
}

func (m *Manager) emit(o Output) { m.outputs = append(m.outputs, o) }

func (m *Manager) logEvent(s *shard, text string) {
	m.emit(Output{Kind: LogEvent, Index: s.index, Epoch: s.epoch, Text: text})
}

// setState changes the state of a shard, ends its window without signs of use
// and, if the state differs, logs the reason and reports the change.
func (m *Manager) setState(s *shard, to state, now time.Time, reason string) {
	from := s.state
	s.state = to
	s.changedAt = now
	s.silentSince = time.Time{}
	s.takeableSince = time.Time{}
	s.yielded = false
	if from == to {
		return
	}
	m.logEvent(s, reason)
	m.emit(Output{Kind: ShardsChanged})
}

// Tick advances the state of all shards and queues the outputs that are due.
func (m *Manager) Tick(view View, now time.Time) {
	m.view = view
	if m.view.Quarantine < Term {
		m.view.Quarantine = DefaultQuarantine
	}
	for len(m.shards) < int(view.Shards) {
		m.shards = append(m.shards, shard{index: uint16(len(m.shards))})
	}
	for i := range m.shards {
		m.tickShard(&m.shards[i], now)
	}
	m.rebalance(now)
	m.requestRows(now)
}

func (m *Manager) tickShard(s *shard, now time.Time) {
	switch s.state {
	case notHeld:
		m.tryTake(s, now)
	case holding:
		m.tickHolding(s, now)
	case resuming:
		m.tickResuming(s, now)
	case draining:
		m.tickDraining(s, now)
	case handingOver:
		m.tickHandingOver(s, now)
	case releasing:
		m.tickReleasing(s, now)
	}
}

// requestRows asks for the rows of the zone when the outcome of a write is
// unknown or a shard could be taken.
func (m *Manager) requestRows(now time.Time) {
	interval := readInterval
	wanted := false
	for i := range m.shards {
		s := &m.shards[i]
		if s.outcomeUnknown {
			interval = retryInterval
			wanted = true
		}
		if s.state == notHeld && !m.view.Leaving && !m.claimedByPeer(s) {
			wanted = true
			if !s.known {
				interval = retryInterval
			}
		}
	}
	if !wanted || m.reading || now.Sub(m.readSentAt) < interval {
		return
	}
	m.readSentAt = now
	m.reading = true
	m.emit(Output{Kind: ReadRows})
}

// claimedByPeer reports whether a live zone peer says it uses the shard.
func (m *Manager) claimedByPeer(s *shard) bool {
	for i := range m.view.ZonePeers {
		if p := &m.view.ZonePeers[i]; !p.Removed && p.claims(s.index) {
			return true
		}
	}
	return false
}

// Paused handles a gap in the ticks of this instance. After a gap longer than
// MaxPause the shards in use are suspended.
func (m *Manager) Paused(gap time.Duration, now time.Time) {
	m.observingSince = now
	for i := range m.shards {
		s := &m.shards[i]
		s.silentSince = time.Time{}
		s.takeableSince = time.Time{}
		s.unusedAt = nil
		if gap <= MaxPause {
			continue
		}
		s.lastWrite.stale = true
		switch s.state {
		case holding, resuming, draining:
			m.suspend(s, now.Add(-gap), now)
		}
	}
}

// suspend stops the use of a shard until the lease is confirmed.
func (m *Manager) suspend(s *shard, pausedAt, now time.Time) {
	if s.state != resuming {
		s.pausedAt = pausedAt
	}
	s.confirmedBy = nil
	m.setState(s, resuming, now, "paused")
}

// Idle reports whether no shard is held, being taken or being given up.
func (m *Manager) Idle() bool {
	for i := range m.shards {
		if m.shards[i].state != notHeld {
			return false
		}
	}
	return true
}
