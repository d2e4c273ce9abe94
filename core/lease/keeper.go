package lease

import (
	"time"
)

// Times of the leases.
const (
	// Term is the term of a lease from before the renewal was sent.
	Term = 10 * time.Second
	// renewInterval is the time between renewals of one shard. With several
	// shards it grows by renewPerShard each, since an instance may write only
	// once in two seconds; a late renewal loses nothing before the quarantine.
	renewInterval = 3 * time.Second
	renewPerShard = 2200 * time.Millisecond
	// MaxGap is the longest gap between two ticks over which a holder counts as
	// continuous: the term without a margin of 2 s.
	MaxGap = Term - 2*time.Second
	// clockMargin covers the difference between the clocks of two instances.
	clockMargin = 2 * time.Second
	// DefaultQuarantine is used until a document states another one.
	DefaultQuarantine = 30 * time.Second

	readInterval  = 5 * time.Second
	retryInterval = 1 * time.Second
	// rankDelay keeps candidates of lower rank from writing at the same time.
	rankDelay = 3 * time.Second
	// severalDelay is how long an instance that holds a shard leaves another
	// one to zone peers that hold fewer.
	severalDelay = 10 * time.Second
)

// state is what an instance does with a shard.
type state uint8

const (
	// idle shards are not held.
	idle state = iota
	// taking: the write that makes this instance the holder is under way.
	taking
	// holding: this instance uses the shard.
	holding
	// resuming: this instance was paused while it held the shard, and does not
	// use it until that is confirmed.
	resuming
	// dropping: this instance stopped to use the shard, requests may be in
	// flight.
	dropping
	// handing: the shard was offered to a zone peer, which may use it already.
	handing
	// releasing: the write that releases the row is under way.
	releasing
)

// slot is the row of one shard in the table of a Keeper.
type slot struct {
	index uint16
	state state

	// row and version are what the platform last showed; known is false before
	// the first read.
	known   bool
	row     Row
	version uint64
	readAt  time.Time

	epoch   uint64
	takenAt time.Time
	changed time.Time
	// basis is the row under which a zone peer handed the shard over, from that
	// zone peer, whose last renewal may show up in the row later.
	basis Row
	from  string

	write     write
	uncertain bool

	// silent is since when there was no sign that anyone uses the shard, zero
	// outside of a window; takeable is since when it may be taken.
	silent    time.Time
	takeable  time.Time
	probed    time.Time
	unused    map[string]time.Time
	lostAt    time.Time
	confirms  map[string]bool
	confirmAt time.Time
	round     uint64

	// yielded is set when a paused holder no longer keeps others from taking
	// the shard; it returns only if its row is unchanged.
	yielded bool

	successor  string
	refusedBy  map[string]bool
	handSent   time.Time
	lastEpoch  uint64
	acceptedAt uint64
}

// write is a write under way.
type write struct {
	inFlight bool
	sent     time.Time
	row      Row
	// stale is set when this instance was paused since it sent the write.
	stale bool
}

// ZonePeer is an instance of the own zone.
type ZonePeer struct {
	ID      string
	Address string
	Leaving bool
	// Gone is set for one that died lately, at GoneSince.
	Gone      bool
	GoneSince time.Time
	Shards    []Claim
}

// Claim is a shard that an instance says it uses.
type Claim struct {
	Index uint16
	Epoch uint64
}

func (m *ZonePeer) claims(index uint16) bool {
	for _, c := range m.Shards {
		if c.Index == index {
			return true
		}
	}
	return false
}

// View is what the Keeper needs to know at a tick.
type View struct {
	// ZonePeers are the instances of the own zone that are alive or died within
	// the quarantine, without this one.
	ZonePeers []ZonePeer
	// Fresh tells that the view was compared with another instance since the
	// start or the last pause.
	Fresh bool
	// Leaving is set when this instance departs.
	Leaving bool
	// Drained is the last time at which no request was in flight.
	Drained time.Time
	// Down is set when the platform does not answer.
	Down bool
	// Quarantine is the longest deadline of the document.
	Quarantine time.Duration
	// Shards is the number of shards of the zone.
	Shards uint16
}

// Keeper holds the leases of one instance. It is not safe for concurrent use.
type Keeper struct {
	self    string
	address string
	slots   []slot
	view    View
	asked   time.Time
	reading bool
	// since is when this instance started or last ended a pause.
	since time.Time
	// uneven is since when a zone peer holds at least two shards fewer.
	uneven time.Time
	out    []Output
}

// Kind tells what an Output asks for.
type Kind uint8

// Kinds of outputs.
const (
	// ReadRows reads the rows of all shards of the zone.
	ReadRows Kind = iota
	// WriteRow writes Row if the version is still Version.
	WriteRow
	// SendProbe asks To whether it uses the shard.
	SendProbe
	// SendConfirm asks To whether the row may have changed.
	SendConfirm
	// SendHandover passes the shard to To.
	SendHandover
	// Changed reports a new set of held shards.
	Changed
	// Note is for the log.
	Note
)

// Output is one thing that the Keeper wants done.
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

// Held is a shard in use.
type Held struct {
	Index   uint16
	Epoch   uint64
	TakenAt time.Time
}

// New returns a Keeper that holds nothing.
func New(self, address string, now time.Time) *Keeper {
	return &Keeper{self: self, address: address, since: now}
}

// Held returns the shards that this instance uses.
func (k *Keeper) Held() []Held {
	var held []Held
	for i := range k.slots {
		if s := &k.slots[i]; s.state == holding {
			held = append(held, Held{Index: s.index, Epoch: s.epoch, TakenAt: s.takenAt})
		}
	}
	return held
}

// Claims returns the shards that this instance uses or may use.
func (k *Keeper) Claims() []Claim {
	var claims []Claim
	for i := range k.slots {
		if s := &k.slots[i]; s.state != idle && s.state != taking && !s.yielded {
			claims = append(claims, Claim{Index: s.index, Epoch: s.epoch})
		}
	}
	return claims
}

// Take returns the outputs since the last call.
func (k *Keeper) Take() []Output {
	out := k.out
	k.out = nil
	return out
}

func (k *Keeper) do(o Output) { k.out = append(k.out, o) }

func (k *Keeper) note(s *slot, text string) {
	k.do(Output{Kind: Note, Index: s.index, Epoch: s.epoch, Text: text})
}

// set changes the state of a shard and reports a new set of held shards.
func (k *Keeper) set(s *slot, to state, now time.Time, why string) {
	from := s.state
	s.state = to
	s.changed = now
	s.silent = time.Time{}
	s.takeable = time.Time{}
	s.yielded = false
	if from == to {
		return
	}
	k.note(s, why)
	k.do(Output{Kind: Changed})
}

// Tick runs the systems of the Keeper.
func (k *Keeper) Tick(view View, now time.Time) {
	k.view = view
	if k.view.Quarantine < Term {
		k.view.Quarantine = DefaultQuarantine
	}
	for len(k.slots) < int(view.Shards) {
		k.slots = append(k.slots, slot{index: uint16(len(k.slots))})
	}
	for i := range k.slots {
		k.tickSlot(&k.slots[i], now)
	}
	k.rebalance(now)
	k.read(now)
}

func (k *Keeper) tickSlot(s *slot, now time.Time) {
	switch s.state {
	case idle:
		k.tryTake(s, now)
	case holding:
		k.tickHolding(s, now)
	case resuming:
		k.resume(s, now)
	case dropping:
		k.tickDropping(s, now)
	case handing:
		k.tickHanding(s, now)
	case releasing:
		k.tickReleasing(s, now)
	}
}

// read asks for the rows when a write has an unknown outcome or when a shard
// could be taken.
func (k *Keeper) read(now time.Time) {
	interval := readInterval
	wanted := false
	for i := range k.slots {
		s := &k.slots[i]
		if s.uncertain {
			interval = retryInterval
			wanted = true
		}
		if s.state == idle && !k.view.Leaving && !k.claimed(s) {
			wanted = true
			if !s.known {
				interval = retryInterval
			}
		}
	}
	if !wanted || k.reading || now.Sub(k.asked) < interval {
		return
	}
	k.asked = now
	k.reading = true
	k.do(Output{Kind: ReadRows})
}

// claimed tells whether a live zone peer says it uses the shard.
func (k *Keeper) claimed(s *slot) bool {
	for i := range k.view.ZonePeers {
		if m := &k.view.ZonePeers[i]; !m.Gone && m.claims(s.index) {
			return true
		}
	}
	return false
}

// Paused tells the Keeper that this instance had a gap in its ticks.
func (k *Keeper) Paused(gap time.Duration, now time.Time) {
	k.since = now
	for i := range k.slots {
		s := &k.slots[i]
		s.silent = time.Time{}
		s.takeable = time.Time{}
		s.unused = nil
		if gap <= MaxGap {
			continue
		}
		s.write.stale = true
		switch s.state {
		case holding, resuming, dropping:
			k.suspend(s, now.Add(-gap), now)
		}
	}
}

// suspend stops the use of a shard until it is confirmed.
func (k *Keeper) suspend(s *slot, lost, now time.Time) {
	if s.state != resuming {
		s.lostAt = lost
	}
	s.confirms = nil
	k.set(s, resuming, now, "paused")
}

// Idle tells whether no shard is held, nor on its way in or out.
func (k *Keeper) Idle() bool {
	for i := range k.slots {
		if k.slots[i].state != idle {
			return false
		}
	}
	return true
}
