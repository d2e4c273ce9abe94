// Package presence tracks which instances are alive from heartbeats that they
// send each other. It uses no sockets or clocks.
//
// Heartbeats go directly between instances and not through the store, so that
// they keep working while the store is unavailable, and cost no store calls. At
// each Interval an instance sends its heartbeat to the instances of its zone and
// to a few others. In a fleet in which heartbeats do not reach all instances
// this way, messages also carry copies of heartbeats that the sender received.
// An instance is live as long as its newest heartbeat, received directly or as a
// copy, is recent enough.
package presence

import (
	"math/rand/v2"
	"sort"
	"time"

	"pistachioford.example/core/feed"
	"pistachioford.example/core/sharedrate"
	"pistachioford.example/core/steer"
)

const (
	// Interval is the time between two heartbeats of an instance.
	Interval = 700 * time.Millisecond
	// deadAfter is the time without a heartbeat after which an instance is
	// treated as dead: four lost heartbeats. A lookup may return a dead instance
	// for at most about twice that time.
	deadAfter = 3 * time.Second
	// PulsesPerInterval is the number of pulses that an advertised instance
	// sends to its zone between two regular heartbeats. A pulse is a heartbeat
	// without copies. Few instances of a zone are advertised, and if one fails
	// its callers need another one soon.
	PulsesPerInterval = 2
	// pulseDeadAfter replaces deadAfter for instances of the own zone that send
	// pulses: five lost heartbeats.
	pulseDeadAfter = 5 * Interval / (PulsesPerInterval + 1)
	// crowdedDeadAfter replaces deadAfter if the own zone is crowded, that is,
	// has more than zoneFanout other live instances. Most heartbeats then
	// arrive as copies.
	crowdedDeadAfter = 4500 * time.Millisecond
	// zoneFanout and remoteFanout are the numbers of instances of the own zone
	// and of other zones that get a heartbeat directly. In a larger fleet the
	// others receive it in copies in later heartbeats. They bound the messages
	// of an instance.
	zoneFanout   = 12
	remoteFanout = 3
	// crowdedFanout replaces zoneFanout in a crowded zone, where all heartbeats
	// carry copies.
	crowdedFanout = 6
	// maxCopies is the largest number of copies in a message, maxCrowdedCopies
	// that within a crowded zone.
	maxCopies        = 6
	maxCrowdedCopies = 9
	// zoneMessagesWithCopies is how many of the messages to the own zone carry
	// copies if the zone is not crowded.
	zoneMessagesWithCopies = 2
	// maxCopyAge is the age up to which a heartbeat is passed on.
	maxCopyAge = 2 * Interval
	// demandTTL is how long the demands of a silent instance count. It may be
	// cut off and go on with its share of the targets' limits.
	demandTTL = 10 * time.Second
	// removeAfter is how long after its last heartbeat an instance is removed.
	// Instances from which no heartbeat was ever received stay.
	removeAfter = 30 * time.Second
	// deadProbes is the least number of dead instances that also get a
	// heartbeat, so that both sides of a healed partition find each other.
	deadProbes = 2
)

// Heartbeat is what an instance reports of itself to the others.
type Heartbeat struct {
	Name string
	Zone string
	// RequestAddr and PeerAddr are the addresses for requests and for
	// heartbeats.
	RequestAddr string
	PeerAddr    string
	// MilliCPU is the processor share in thousandths of a core, LinkMbps the
	// bandwidth of the instance's own link in Mbit/s.
	MilliCPU, LinkMbps int
	// Boot orders the starts of an instance, Sequence the heartbeats of one
	// boot.
	Boot     int64
	Sequence uint64
	// Ready is set if the instance serves requests.
	Ready   bool
	Leaving bool
	// StoreLost is set while the instance cannot reach the store.
	StoreLost bool
	// SendsPulses is set if the instance sends pulses to all others of its zone.
	SendsPulses bool
	// Document and Registry are the versions of the newest changes known to the
	// instance.
	Document feed.Version
	Registry feed.Version
	// Demands are the instance's demands for targets that name limits, if
	// ReportsDemands is set.
	ReportsDemands bool
	Demands        []steer.Demand
	// Advertised and AccountDemands are set in deployments with client accounts:
	// whether lookups return the instance, and its demands for accounts.
	Advertised     bool
	AccountDemands []sharedrate.Demand
}

// newer reports whether b was sent after o.
func (b Heartbeat) newer(o Heartbeat) bool {
	return b.Boot > o.Boot || b.Boot == o.Boot && b.Sequence > o.Sequence
}

// member is the newest heartbeat of an instance and when it arrived.
type member struct {
	Heartbeat
	receivedAt time.Time
}

// Table holds the newest heartbeat of each instance. It is not safe for
// concurrent use.
type Table struct {
	self    Heartbeat
	members map[string]*member
	rand    *rand.Rand
	// crowded is set while the own zone has more than zoneFanout other live
	// instances.
	crowded bool
}

// New returns the table of the instance self, which knows no other instances
// yet. The seed determines its random choices.
func New(self Heartbeat, seed uint64) *Table {
	return &Table{self: self, members: map[string]*member{}, rand: rand.New(rand.NewPCG(seed, 1))}
}

// State is what an instance reports of itself in its heartbeats.
type State struct {
	Ready, Leaving bool
	// StoreLost is as in Heartbeat.
	StoreLost bool
	// Advertised is set if lookups return the instance.
	Advertised         bool
	Document, Registry feed.Version
	// Demands are as in Heartbeat.
	ReportsDemands bool
	Demands        []steer.Demand
	// ReportsAccounts is set in deployments with client accounts. AccountDemands
	// is as in Heartbeat.
	ReportsAccounts bool
	AccountDemands  []sharedrate.Demand
}

func (t *Table) isLive(now time.Time, m *member) bool {
	limit := deadAfter
	switch {
	case m.SendsPulses && m.Zone == t.self.Zone:
		limit = pulseDeadAfter
	case t.crowded:
		limit = crowdedDeadAfter
	}
	return now.Sub(m.receivedAt) < limit && !m.Leaving
}

// SetState sets what the heartbeats of this instance report.
func (t *Table) SetState(s State) {
	t.self.Ready, t.self.Leaving, t.self.StoreLost = s.Ready, s.Leaving, s.StoreLost
	// Pulses to all others of a crowded zone would cost too much.
	t.self.SendsPulses = s.Advertised && !t.crowded
	t.self.Document, t.self.Registry = s.Document, s.Registry
	t.self.ReportsDemands, t.self.Demands = s.ReportsDemands, s.Demands
	t.self.Advertised, t.self.AccountDemands = s.ReportsAccounts && s.Advertised, s.AccountDemands
}

// Self returns the newest heartbeat of this instance.
func (t *Table) Self() Heartbeat { return t.self }

// Add adds an instance that is known from elsewhere. It is treated as dead until
// a heartbeat of it arrives. For a known instance that started anew, Add updates
// PeerAddr, MilliCPU and LinkMbps.
func (t *Table) Add(b Heartbeat) {
	known := t.members[b.Name]
	if b.Name == t.self.Name || known != nil && known.Boot >= b.Boot {
		return
	}
	if known != nil {
		known.PeerAddr, known.MilliCPU, known.LinkMbps = b.PeerAddr, b.MilliCPU, b.LinkMbps
		return
	}
	t.members[b.Name] = &member{Heartbeat: b}
}

// RecordHeartbeat records a heartbeat, or a copy of one. It returns true if the
// instance was not live before and is now.
func (t *Table) RecordHeartbeat(now time.Time, b Heartbeat) bool {
	if b.Name == t.self.Name || b.Name == "" {
		return false
	}
	known := t.members[b.Name]
	if known == nil {
		known = &member{}
		t.members[b.Name] = known
	}
	if !b.newer(known.Heartbeat) {
		return false
	}
	wasLive := t.isLive(now, known)
	known.Heartbeat, known.receivedAt = b, now
	return !wasLive && t.isLive(now, known)
}

// Forget removes an instance until its next heartbeat.
func (t *Table) Forget(name string) { delete(t.members, name) }

// Delivery is the message to one instance that carries a heartbeat.
type Delivery struct {
	To string
	// Copies are the newest heartbeats of other instances.
	Copies []Heartbeat
	// SameZone is set if the receiver is in the own zone.
	SameZone bool
}

// NextHeartbeat returns the next heartbeat of this instance and its deliveries.
// It also removes instances that have been dead for long.
func (t *Table) NextHeartbeat(now time.Time) (Heartbeat, []Delivery) {
	t.self.Sequence++
	var sameZone, otherZones, dead []*member
	for _, m := range t.sortedMembers() {
		switch {
		case t.isLive(now, m) && m.Zone == t.self.Zone:
			sameZone = append(sameZone, m)
		case t.isLive(now, m):
			otherZones = append(otherZones, m)
		case !m.receivedAt.IsZero() && now.Sub(m.receivedAt) > removeAfter:
			delete(t.members, m.Name)
		default:
			dead = append(dead, m)
		}
	}
	for _, members := range [][]*member{sameZone, otherZones, dead} {
		t.shuffle(members)
	}
	zoneCopies := t.recentCopies(now, sameZone, maxCrowdedCopies)
	allCopies := t.recentCopies(now, append(append([]*member(nil), sameZone...), otherZones...), maxCopies)
	if len(sameZone) <= zoneFanout && len(otherZones) <= remoteFanout {
		// All instances get each other's heartbeats directly.
		zoneCopies, allCopies = nil, nil
	}
	var deliveries []Delivery
	t.crowded = len(sameZone) > zoneFanout
	if t.crowded {
		sameZone = sameZone[:crowdedFanout]
	}
	for _, m := range sameZone {
		d := Delivery{To: m.PeerAddr, SameZone: true}
		switch {
		case t.crowded:
			d.Copies = zoneCopies
		case len(deliveries) < zoneMessagesWithCopies:
			d.Copies = allCopies
		}
		deliveries = append(deliveries, d)
	}
	for _, m := range otherZones[:min(len(otherZones), remoteFanout)] {
		deliveries = append(deliveries, Delivery{To: m.PeerAddr, Copies: allCopies})
	}
	probes := max(deadProbes, zoneFanout+remoteFanout-len(deliveries))
	for _, m := range dead[:min(len(dead), probes)] {
		deliveries = append(deliveries, Delivery{To: m.PeerAddr})
	}
	return t.self, deliveries
}

// Greeting returns a heartbeat of this instance and the addresses of the known
// instances of its zone that are not live, for the start of this instance.
func (t *Table) Greeting(now time.Time) (Heartbeat, []string) {
	t.self.Sequence++
	var to []string
	for _, m := range t.sortedMembers() {
		if m.Zone == t.self.Zone && !t.isLive(now, m) && m.PeerAddr != "" {
			to = append(to, m.PeerAddr)
		}
	}
	return t.self, to
}

// NextReply returns the heartbeat that replies to an instance that became live.
func (t *Table) NextReply() Heartbeat {
	t.self.Sequence++
	return t.self
}

// NextPulse returns the next pulse of this instance and the addresses that it
// goes to: none unless this instance is advertised and its zone is not
// crowded.
func (t *Table) NextPulse(now time.Time) (Heartbeat, []string) {
	if !t.self.SendsPulses {
		return t.self, nil
	}
	t.self.Sequence++
	var to []string
	for _, m := range t.sortedMembers() {
		if m.Zone == t.self.Zone && t.isLive(now, m) {
			to = append(to, m.PeerAddr)
		}
	}
	return t.self, to
}

// recentCopies returns up to limit heartbeats of members to pass on, none older
// than maxCopyAge: an old one would make a dead instance look alive elsewhere.
func (t *Table) recentCopies(now time.Time, members []*member, limit int) []Heartbeat {
	members = append([]*member(nil), members...)
	t.shuffle(members)
	// The newest heartbeats have reached the fewest other instances.
	sort.SliceStable(members, func(i, j int) bool { return members[i].receivedAt.After(members[j].receivedAt) })
	var copies []Heartbeat
	for _, m := range members {
		if len(copies) < limit && now.Sub(m.receivedAt) < maxCopyAge {
			copies = append(copies, m.Heartbeat)
		}
	}
	return copies
}

func (t *Table) shuffle(members []*member) {
	t.rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// sortedMembers returns the members in a fixed order, so that the random
// choices are reproducible.
func (t *Table) sortedMembers() []*member {
	members := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Live returns the newest heartbeats of the other live instances.
func (t *Table) Live(now time.Time) []Heartbeat {
	var live []Heartbeat
	for _, m := range t.sortedMembers() {
		if t.isLive(now, m) {
			live = append(live, m.Heartbeat)
		}
	}
	return live
}

// Demands returns what the other instances report of their demands. regions maps
// zones to their regions. Instances that are leaving have none any more; silent
// ones keep theirs for demandTTL.
func (t *Table) Demands(now time.Time, regions map[string]string) []steer.PeerDemand {
	var demands []steer.PeerDemand
	for _, m := range t.sortedMembers() {
		if m.Leaving || m.receivedAt.IsZero() || now.Sub(m.receivedAt) > demandTTL {
			continue
		}
		demands = append(demands, steer.PeerDemand{
			Name: m.Name, Region: regions[m.Zone], Reported: m.ReportsDemands, Demands: m.Demands,
		})
	}
	return demands
}

// AccountPeers returns what the other known instances report of their demands
// for client accounts.
func (t *Table) AccountPeers() []sharedrate.Peer {
	peers := make([]sharedrate.Peer, 0, len(t.members))
	for _, m := range t.members {
		peers = append(peers, sharedrate.Peer{
			Name: m.Name, Received: m.receivedAt, Boot: m.Boot, Leaving: m.Leaving, Advertised: m.Advertised, Demands: m.AccountDemands,
		})
	}
	return peers
}

// PeerAddr returns the address for heartbeats of another instance, or an empty
// text if it is not known.
func (t *Table) PeerAddr(name string) string {
	m := t.members[name]
	if m == nil {
		return ""
	}
	return m.PeerAddr
}

// KnownInZone returns the number of other known instances of the own zone, live
// or not.
func (t *Table) KnownInZone() int {
	n := 0
	for _, m := range t.members {
		if m.Zone == t.self.Zone {
			n++
		}
	}
	return n
}

// Known returns the number of other known instances, live or not.
func (t *Table) Known() int { return len(t.members) }
