package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/revision"
	"pistachioford.example/core/virtual"
)

// sim runs Engines in virtual time with in-memory links and a fake platform.
type sim struct {
	virtual.Clock
	start        time.Time
	random       *rand.Rand
	tickInterval time.Duration

	zones              []document.Zone
	documentQuarantine time.Duration
	nodes              map[string]*node // by address
	all                []*node
	store              platform
	checker            checker
	loss               float64
	cutLinks           map[[2]string]bool // pairs of zones that cannot reach each other
	noPlatform         map[string]bool    // zones that cannot reach the platform
	serial             int
	blocks             string

	messages, bytes uint64
	messageSize     func(Message) int
	seeds           []string

	// hidePauses and forgeAcks break a rule on purpose, to show that the checker
	// detects it: Engines do not notice their pauses, and an offer is answered
	// by an acknowledgement that its receiver never sent.
	hidePauses, forgeAcks bool
}

// node is one simulated instance.
type node struct {
	s       *sim
	id      InstanceID
	zone    string
	address string
	engine  *Engine
	dead    bool
	left    bool
	paused  bool
	// pausedAt and pausedFor are those of the last pause.
	pausedAt  time.Time
	pausedFor time.Duration
	deferred  []func()
	active    *document.Compiled
	held      []HeldShard
	heldUntil time.Time
	lastRun   time.Time
	peers     []Peer
	logs      []string
	// requests is the number of requests in flight.
	requests int
}

func newSim(seed uint64, zones, shards int) *sim {
	start := time.Unix(1_700_000_000, 0)
	s := &sim{
		Clock: virtual.Clock{Now: start}, start: start, random: rand.New(rand.NewPCG(seed, 7)), tickInterval: TickInterval,
		nodes: map[string]*node{}, cutLinks: map[[2]string]bool{}, noPlatform: map[string]bool{},
	}
	for i := range zones {
		s.zones = append(s.zones, document.Zone{Name: fmt.Sprintf("z%d", i), Shards: uint16(shards)})
	}
	s.store = platform{s: s, rows: map[string]Row{}, delay: 10 * time.Millisecond}
	s.checker = checker{s: s, contents: map[uint64]string{}, zoneMaxRevision: map[string]uint64{}, lastUses: map[document.ShardID]shardUse{}}
	return s
}

func (s *sim) run(d time.Duration) { s.RunTo(s.Now.Add(d)) }

// runUntil runs until the condition holds or the limit has passed, and returns
// how long that took.
func (s *sim) runUntil(limit time.Duration, done func() bool) time.Duration {
	from := s.Now
	for s.Now.Sub(from) < limit && !done() {
		s.run(10 * time.Millisecond)
	}
	return s.Now.Sub(from)
}

// boot starts a new instance.
func (s *sim) boot(zone int) *node {
	s.serial++
	n := &node{
		s: s, id: InstanceID(fmt.Sprintf("i%d", s.serial)), zone: s.zones[zone].Name,
		address: fmt.Sprintf("10.0.%d.%d:7000", s.serial/250, s.serial%250),
	}
	seeds := s.seeds
	if seeds == nil {
		for _, peer := range s.live() {
			seeds = append(seeds, peer.address)
		}
	}
	n.engine = New(Config{
		ID: n.id, Zone: n.zone, Region: "r", Address: n.address, CallerAddress: n.address,
		Seeds: seeds, Seed: s.random.Uint64(), Start: s.Now, Compile: s.compile,
	})
	n.lastRun = s.Now
	s.nodes[n.address] = n
	s.all = append(s.all, n)
	s.After(time.Duration(s.random.Int64N(int64(s.tickInterval))), n.tickLoop)
	return n
}

func (s *sim) live() []*node {
	var live []*node
	for _, n := range s.all {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

// compile puts the content of the sections into the name of a group, for the
// checker.
func (s *sim) compile(r uint64, sections []document.Section) (*document.Compiled, error) {
	var content strings.Builder
	for _, section := range sections {
		content.WriteString(section.Name + "=" + section.Text + ";")
	}
	return &document.Compiled{
		Revision: r, Zones: s.zones, Quarantine: s.documentQuarantine, BlocksManifest: s.blocks,
		Groups: []document.Group{{Name: content.String()}},
	}, nil
}

func (n *node) tickLoop() {
	if n.dead {
		return
	}
	n.runOrDefer(func() []Action {
		n.execute(n.engine.Handle(n.s.Now, InFlight{Requests: n.requests}))
		return n.engine.Tick(n.s.Now)
	})
	n.s.After(n.s.tickInterval, n.tickLoop)
}

// runOrDefer runs a step of the instance now or, if it is paused, when the pause
// ends. Beyond 200 deferred steps further ones are dropped.
func (n *node) runOrDefer(step func() []Action) {
	if n.dead {
		return
	}
	if n.paused {
		if len(n.deferred) < 200 {
			n.deferred = append(n.deferred, func() { n.runOrDefer(step) })
		}
		return
	}
	n.lastRun = n.s.Now
	n.execute(step())
}

func (n *node) pause(d time.Duration) {
	if n.paused || n.dead {
		return
	}
	n.paused = true
	n.pausedAt, n.pausedFor = n.s.Now, d
	n.s.After(d, func() {
		if n.dead {
			return
		}
		n.paused = false
		n.s.checker.checkResumed(n)
		if n.s.hidePauses {
			n.engine.lastCall = n.s.Now
		}
		steps := n.deferred
		n.deferred = nil
		for _, step := range steps {
			step()
		}
	})
}

func (n *node) kill() {
	if !n.dead {
		n.dead = true
		n.s.checker.recordUseEnd(n, n.held, false)
	}
}

func (n *node) leave() { n.runOrDefer(func() []Action { return n.engine.Handle(n.s.Now, Leave{}) }) }

func (n *node) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendMessage:
			n.s.deliver(n, a)
		case ReadRows:
			n.s.store.read(n, a)
		case WriteRow:
			n.s.store.write(n, a)
		case ListInstances:
			n.s.store.list(n, a)
		case FetchObject:
			n.s.store.fetch(n, a)
		case ActivateDocument:
			n.s.checker.checkActivation(n, a.Document)
			n.active = a.Document
		case HoldShards:
			n.s.checker.checkHeldShards(n, a)
		case PublishPeers:
			n.peers = a.Peers
		case Departed:
			n.left = true
			n.kill()
		case Log:
			text := a.Name
			for _, f := range a.Fields {
				text += " " + f.Key + "=" + f.Value
			}
			n.logs = append(n.logs, n.s.Now.Sub(n.s.start).String()+" "+text)
		}
	}
}

func (s *sim) deliver(from *node, a SendMessage) {
	s.messages++
	if s.messageSize != nil {
		s.bytes += uint64(s.messageSize(a.Message))
	}
	to := s.nodes[a.Address]
	if offer, ok := a.Message.(*Offer); ok && s.forgeAcks && from.active != nil && to != nil {
		s.forgeAck(from, to, offer)
		return
	}
	if to == nil || s.random.Float64() < s.loss {
		return
	}
	delay := 3 * time.Millisecond
	if to.zone != from.zone {
		delay = 35 * time.Millisecond
		if s.cutLinks[[2]string{from.zone, to.zone}] || s.cutLinks[[2]string{to.zone, from.zone}] {
			return
		}
	}
	s.After(delay, func() {
		to.runOrDefer(func() []Action {
			return to.engine.Handle(s.Now, MessageReceived{From: from.id, Message: a.Message})
		})
	})
}

// forgeAck acknowledges an offer in the name of its receiver, which does not get
// it.
func (s *sim) forgeAck(from, to *node, offer *Offer) {
	ack := &Acknowledgement{
		Header: Header{Sender: to.engine.members.Self(), Revision: 1}, Round: offer.Round,
		Revision: offer.Head.Revision, Digest: offer.Head.Digest(), Held: offer.Head.Revision,
	}
	s.After(time.Millisecond, func() {
		from.runOrDefer(func() []Action { return from.engine.Handle(s.Now, MessageReceived{Message: ack}) })
	})
}

// platform is the fake table service, object store and instance list.
type platform struct {
	s       *sim
	rows    map[string]Row
	objects map[string][]byte
	delay   time.Duration
	down    bool
	// responseLossRate is the fraction of calls that take effect without a
	// response, failureRate the fraction that fail without an effect.
	responseLossRate, failureRate float64
	reads, writes                 int
}

var errPlatform = errors.New("platform does not respond")

// call runs a platform call, which takes effect in the middle of the delay.
func (p *platform) call(n *node, id OperationID, effect func() PlatformAnswered) {
	respond := func(a PlatformAnswered, after time.Duration) {
		a.ID = id
		p.s.After(after, func() {
			n.runOrDefer(func() []Action { return n.engine.Handle(p.s.Now, a) })
		})
	}
	if p.down || p.s.noPlatform[n.zone] || p.s.random.Float64() < p.failureRate {
		respond(PlatformAnswered{Err: errPlatform}, time.Second)
		return
	}
	p.s.After(p.delay/2, func() {
		a := effect()
		if p.s.random.Float64() < p.responseLossRate {
			a = PlatformAnswered{Err: errPlatform}
		}
		respond(a, p.delay/2)
	})
}

func (p *platform) read(n *node, a ReadRows) {
	p.reads++
	p.call(n, a.ID, func() PlatformAnswered {
		var rows []Row
		for _, key := range a.Keys {
			row := p.rows[key]
			row.Key = key
			rows = append(rows, row)
		}
		return PlatformAnswered{Rows: rows}
	})
}

func (p *platform) write(n *node, a WriteRow) {
	p.writes++
	p.call(n, a.ID, func() PlatformAnswered {
		if p.rows[a.Key].Version != a.IfVersion {
			return PlatformAnswered{Conflict: true}
		}
		row := Row{Key: a.Key, Version: a.IfVersion + 1, Value: a.Value}
		p.rows[a.Key] = row
		return PlatformAnswered{Rows: []Row{row}}
	})
}

func (p *platform) list(n *node, a ListInstances) {
	p.reads++
	p.call(n, a.ID, func() PlatformAnswered {
		var list []ListedInstance
		for _, other := range p.s.live() {
			list = append(list, ListedInstance{ID: other.id, Address: other.address, Zone: other.zone, Role: "entry"})
		}
		return PlatformAnswered{Instances: list}
	})
}

func (p *platform) fetch(n *node, a FetchObject) {
	p.reads++
	p.call(n, a.ID, func() PlatformAnswered {
		object, ok := p.objects[a.Name]
		if !ok {
			return PlatformAnswered{Err: errPlatform}
		}
		return PlatformAnswered{Object: object}
	})
}

// apply commits a change of one section in one transaction, as pistachioctl
// does. It returns the new revision, or 0 if the head is not expectedRevision.
func (p *platform) apply(expectedRevision uint64, section, text string) uint64 {
	head := &revision.Head{}
	if row := p.rows[revision.HeadKey]; row.Version != 0 {
		head, _ = revision.DecodeHead(row.Value)
	}
	if head.Revision != expectedRevision {
		return 0
	}
	head.Revision++
	entry := revision.HeadSection{Name: section, Hash: revision.ContentHash([]byte(text)), Team: section}
	found := false
	for i := range head.Sections {
		if head.Sections[i].Name == section {
			entry.Version = head.Sections[i].Version
			found = true
		}
	}
	entry.Version++
	if !found {
		head.Sections = append(head.Sections, entry)
		sort.Slice(head.Sections, func(i, j int) bool { return head.Sections[i].Name < head.Sections[j].Name })
	}
	for i := range head.Sections {
		if head.Sections[i].Name == section {
			head.Sections[i] = entry
		}
	}
	p.putRow(revision.SectionKey(section, entry.Version), (&revision.SectionRow{Text: text}).Encode())
	p.putRow(revision.HeadKey, head.Encode())
	return head.Revision
}

func (p *platform) putRow(key string, value []byte) {
	p.rows[key] = Row{Key: key, Version: p.rows[key].Version + 1, Value: value}
}

func (p *platform) headRevision() uint64 {
	head, err := revision.DecodeHead(p.rows[revision.HeadKey].Value)
	if err != nil {
		return 0
	}
	return head.Revision
}

// edit applies a change to the newest head.
func (p *platform) edit(section, text string) uint64 { return p.apply(p.headRevision(), section, text) }

// checker observes the instances from outside and records violations of the
// rules that must hold at any time.
type checker struct {
	s               *sim
	contents        map[uint64]string
	zoneMaxRevision map[string]uint64
	lastUses        map[document.ShardID]shardUse
	violations      []string
	// quarantine overrides that of the document if it is not 0.
	quarantine time.Duration
}

// shardUse is the last use of a shard by an instance that may have had requests
// in flight when the use ended.
type shardUse struct {
	by InstanceID
	at time.Time
}

func (c *checker) report(format string, args ...any) {
	at := c.s.Now.Sub(c.s.start).String()
	c.violations = append(c.violations, at+" "+fmt.Sprintf(format, args...))
}

// checkActivation reports an older revision after a newer one, and two contents
// of one revision.
func (c *checker) checkActivation(n *node, doc *document.Compiled) {
	content := doc.Groups[0].Name
	if known, ok := c.contents[doc.Revision]; ok && known != content {
		c.report("two contents: revision %d on %s", doc.Revision, n.id)
	}
	c.contents[doc.Revision] = content
	if n.active != nil && doc.Revision <= n.active.Revision {
		c.report("revert: %s from %d to %d", n.id, n.active.Revision, doc.Revision)
	}
	if n.active == nil && doc.Revision < c.zoneMaxRevision[n.zone] {
		c.report("revert: %s starts with %d, zone had %d", n.id, doc.Revision, c.zoneMaxRevision[n.zone])
	}
	c.zoneMaxRevision[n.zone] = max(c.zoneMaxRevision[n.zone], doc.Revision)
}

// mayUse reports whether an instance may send requests on a shard now.
func (c *checker) mayUse(n *node, shard document.ShardID) bool {
	if n.dead || n.paused || c.s.Now.After(n.heldUntil) {
		return false
	}
	for _, h := range n.held {
		if h.Shard == shard {
			return true
		}
	}
	return false
}

func (c *checker) inUse(shard document.ShardID) bool {
	for _, n := range c.s.all {
		if c.mayUse(n, shard) {
			return true
		}
	}
	return false
}

// checkHeldShards records the shards that an instance holds from now on. It
// reports two holders of a shard, and a use within the quarantine of the last
// holder.
func (c *checker) checkHeldShards(n *node, a HoldShards) {
	before := n.held
	n.held, n.heldUntil = a.Held, a.Until
	var released []HeldShard
	for _, h := range before {
		if !holdsShard(a.Held, h.Shard) {
			released = append(released, h)
		}
	}
	for _, h := range released {
		c.recordUseEnd(n, []HeldShard{h}, !n.stoppedWithoutDraining(h))
	}
	for _, h := range a.Held {
		c.checkSoleUser(n, h.Shard)
		if !holdsShard(before, h.Shard) {
			c.checkUseStart(n, h)
		}
	}
}

// stoppedWithoutDraining reports whether the instance stopped using a shard
// without waiting for its requests in flight.
func (n *node) stoppedWithoutDraining(h HeldShard) bool {
	about := fmt.Sprintf("index=%d ", h.Shard.Index)
	for i := len(n.logs) - 1; i >= 0; i-- {
		if strings.Contains(n.logs[i], about) {
			return strings.HasSuffix(n.logs[i], "paused") ||
				strings.HasSuffix(n.logs[i], "lost")
		}
	}
	return false
}

func holdsShard(held []HeldShard, shard document.ShardID) bool {
	for _, h := range held {
		if h.Shard == shard {
			return true
		}
	}
	return false
}

func (c *checker) checkUseStart(n *node, h HeldShard) {
	last, ok := c.lastUses[h.Shard]
	if ok && last.by != n.id && c.s.Now.Sub(last.at) < c.s.quarantine() {
		c.report("quarantine: %s uses %v %v after %s", n.id, h.Shard, c.s.Now.Sub(last.at), last.by)
	}
	delete(c.lastUses, h.Shard)
}

// checkSoleUser reports any other instance that may use the shard.
func (c *checker) checkSoleUser(n *node, shard document.ShardID) {
	for _, other := range c.s.all {
		if other != n && c.mayUse(other, shard) {
			c.report("two holders: %s and %s use %v", n.id, other.id, shard)
		}
	}
}

// recordUseEnd records when an instance stopped using shards. A use that ended
// with no request in flight, as drained states, is not recorded.
func (c *checker) recordUseEnd(n *node, held []HeldShard, drained bool) {
	if drained || n.left {
		return
	}
	for _, h := range held {
		if c.inUse(h.Shard) {
			continue
		}
		at := n.lastRun
		if n.pausedAt.After(n.s.Now.Add(-n.pausedFor - time.Second)) {
			at = n.pausedAt
		}
		if limit := n.heldUntil; at.After(limit) {
			at = limit
		}
		c.lastUses[h.Shard] = shardUse{by: n.id, at: at}
	}
}

// checkResumed reports other users of the shards that an instance still holds
// when its pause ends.
func (c *checker) checkResumed(n *node) {
	for _, h := range n.held {
		if c.mayUse(n, h.Shard) {
			c.checkSoleUser(n, h.Shard)
		}
	}
}

func (s *sim) quarantine() time.Duration {
	if s.checker.quarantine != 0 {
		return s.checker.quarantine
	}
	if s.documentQuarantine == 0 {
		return lease.DefaultQuarantine
	}
	return s.documentQuarantine
}
