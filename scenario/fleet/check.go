package fleet

import (
	"strings"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// check is the name of an invariant.
type check string

// The invariants. Each is checked only against what can be observed from outside
// of the engines.
const (
	checkRevert     check = "revert"       // a zone or an instance goes back to an older revision
	checkContents   check = "two-contents" // one revision has two contents
	checkLost       check = "lost-change"  // an accepted change is missing in a later revision
	checkOutcome    check = "edit-outcome" // a refused change is active, or a change is made twice
	checkGuess      check = "guess"        // an instance starts with a document from neither its zone nor the platform
	checkTwoHolders check = "two-holders"  // two instances use a shard
	checkQuarantine check = "quarantine"   // a shard is used while requests of a dead holder may run
	checkFalseDeath check = "false-death"  // a running instance is declared dead
)

const (
	// maxLogged is how many violations of each invariant are logged.
	maxLogged = 3
	// deathReportWindow is the time after a paused instance has resumed in which
	// reports of its death may still reach other instances.
	deathReportWindow = 10 * time.Second
)

// checker checks the invariants. The fakes report what they observe to its
// on... methods.
type checker struct {
	world              *world
	violations         map[check]int
	texts              map[uint64]string // of activated documents, by revision
	highestRevisions   []uint64          // activated so far, by zone
	activatedDocuments []*document.Compiled
	// abruptEnds holds the last abrupt end of the use of each shard.
	abruptEnds map[document.ShardID]abruptEnd
}

// abruptEnd records that the holder of a shard was killed or paused. Its
// requests may continue to run.
type abruptEnd struct {
	holder *instance
	at     time.Time
}

func newChecker(w *world) *checker {
	return &checker{
		world: w, violations: map[check]int{}, texts: map[uint64]string{},
		highestRevisions: make([]uint64, len(w.doc.Zones)), abruptEnds: map[document.ShardID]abruptEnd{},
	}
}

func (c *checker) failf(kind check, format string, args ...any) {
	c.violations[kind]++
	if c.violations[kind] <= maxLogged {
		c.world.logf("violation "+string(kind)+": "+format, args...)
	}
}

// onActivation is called when an instance activates a document.
func (c *checker) onActivation(in *instance, doc *document.Compiled) {
	text := c.world.texts[doc]
	if previous, ok := c.texts[doc.Revision]; ok && previous != text {
		c.failf(checkContents, "revision %d on %s", doc.Revision, in.id)
	}
	c.texts[doc.Revision] = text
	highest := &c.highestRevisions[in.zone]
	switch {
	case in.active != nil && doc.Revision <= in.active.Revision:
		c.failf(checkRevert, "%s goes from %d to %d", in.id, in.active.Revision, doc.Revision)
	case in.active == nil && doc.Revision < *highest:
		c.failf(checkRevert, "%s starts with %d, its zone had %d", in.id, doc.Revision, *highest)
	case in.active == nil && !in.documentSeen:
		c.failf(checkGuess, "%s starts with %d, which neither the platform nor its zone showed", in.id, doc.Revision)
	}
	*highest = max(*highest, doc.Revision)
	c.activatedDocuments = append(c.activatedDocuments, doc)
	for _, e := range c.world.edits {
		c.checkEdit(e, doc)
	}
}

// onOutcome is called when the outcome of an edit is known. The change may be
// active already.
func (c *checker) onOutcome(e *edit) {
	for _, doc := range c.activatedDocuments {
		c.checkEdit(e, doc)
	}
}

// checkEdit checks the outcome of an edit against a document that was activated.
func (c *checker) checkEdit(e *edit, doc *document.Compiled) {
	count := strings.Count(c.world.texts[doc], e.marker)
	switch {
	case count > 1:
		c.failf(checkOutcome, "change %d is made %d times in revision %d", e.number, count, doc.Revision)
	case e.outcome == refused && count > 0:
		c.failf(checkOutcome, "change %d was refused and is in revision %d", e.number, doc.Revision)
	case e.outcome == accepted && count == 0 && doc.Revision >= e.revision:
		c.failf(checkLost, "change %d is not in revision %d", e.number, doc.Revision)
	}
}

// onPeerRemoved is called when an instance no longer lists another one among its
// peers.
func (c *checker) onPeerRemoved(in, other *instance) {
	if other.dead || other.paused || c.deathReportPending(other) {
		return
	}
	c.failf(checkFalseDeath, "%s believes that %s is dead", in.id, other.id)
}

// deathReportPending reports whether a report that an instance died during a
// pause may still arrive, because the instance resumed recently or because links
// were cut when it resumed.
func (c *checker) deathReportPending(other *instance) bool {
	if other.resumedAt.IsZero() {
		return false
	}
	return c.world.Now.Sub(other.resumedAt) < deathReportWindow ||
		c.world.network.recentlyCut() && other.resumedAt.After(c.world.network.cutAt)
}

// onHold is called when an engine states which shards its instance holds.
func (c *checker) onHold(in *instance, before []control.HeldShard) {
	for _, h := range in.held {
		end, ended := c.abruptEnds[h.Shard]
		if ended && end.holder != in && c.world.Now.Sub(end.at) < c.world.doc.Quarantine {
			c.failf(checkQuarantine, "%s uses %s %v after the end of %s", in.id, c.world.shardName(h.Shard),
				c.world.Now.Sub(end.at).Round(time.Millisecond), end.holder.id)
		}
		delete(c.abruptEnds, h.Shard)
	}
	c.findShardUsers()
}

// onAbruptStop is called when an instance is about to be killed or paused.
func (c *checker) onAbruptStop(in *instance) {
	for _, h := range in.held {
		if in.usesShard(h.Shard) {
			c.abruptEnds[h.Shard] = abruptEnd{holder: in, at: c.world.Now}
		}
	}
}

// findShardUsers returns the instance that uses each shard, and checks that no
// shard has two users.
func (c *checker) findShardUsers() map[document.ShardID]*instance {
	users := map[document.ShardID]*instance{}
	for _, in := range c.world.instances {
		for _, h := range in.held {
			if !in.usesShard(h.Shard) {
				continue
			}
			if other := users[h.Shard]; other != nil {
				c.failf(checkTwoHolders, "%s and %s use %s", other.id, in.id, c.world.shardName(h.Shard))
			}
			users[h.Shard] = in
		}
	}
	return users
}

// checkAllEdits checks every edit against all activated documents at the end of
// a run. It finds accepted changes that were lost later.
func (c *checker) checkAllEdits() {
	for _, e := range c.world.edits {
		c.onOutcome(e)
	}
}
