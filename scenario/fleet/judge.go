package fleet

import (
	"strings"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// check names one invariant.
type check string

// The invariants; each judges only what can be seen from outside.
const (
	checkRevert     check = "revert"       // a zone or an instance goes back to an older revision
	checkContents   check = "two-contents" // one revision has two contents
	checkLost       check = "lost-change"  // an accepted change is missing in a later revision
	checkOutcome    check = "edit-outcome" // a refused change is active, or a change is made twice
	checkGuess      check = "guess"        // a start without a source in the zone or at the platform
	checkTwoHolders check = "two-holders"  // two instances use a shard
	checkQuarantine check = "quarantine"   // a shard is used while requests of a dead holder may run
	checkFalseDeath check = "false-death"  // a running instance is declared dead
)

const (
	// maxLogged bounds the violations of one kind in the log.
	maxLogged = 3
	// newsTime is how long the news of the death of a paused instance may
	// arrive after it has resumed.
	newsTime = 10 * time.Second
)

// judge holds what was seen.
type judge struct {
	w          *world
	violations map[check]int
	contents   map[uint64]string
	zoneMax    []uint64
	activated  []*document.Compiled
	// ends are the last abrupt ends of the use of shards.
	ends map[document.ShardID]abruptEnd
}

// abruptEnd is when a holder was killed or paused; its requests may run on.
type abruptEnd struct {
	by *instance
	at time.Time
}

func newJudge(w *world) *judge {
	return &judge{
		w: w, violations: map[check]int{}, contents: map[uint64]string{},
		zoneMax: make([]uint64, len(w.doc.Zones)), ends: map[document.ShardID]abruptEnd{},
	}
}

func (j *judge) failf(kind check, format string, args ...any) {
	j.violations[kind]++
	if j.violations[kind] <= maxLogged {
		j.w.logf("violation "+string(kind)+": "+format, args...)
	}
}

// activates is told each activation of a document.
func (j *judge) activates(in *instance, c *document.Compiled) {
	text := j.w.texts[c]
	if known, ok := j.contents[c.Revision]; ok && known != text {
		j.failf(checkContents, "revision %d on %s", c.Revision, in.id)
	}
	j.contents[c.Revision] = text
	highest := &j.zoneMax[in.zone]
	switch {
	case in.active != nil && c.Revision <= in.active.Revision:
		j.failf(checkRevert, "%s goes from %d to %d", in.id, in.active.Revision, c.Revision)
	case in.active == nil && c.Revision < *highest:
		j.failf(checkRevert, "%s starts with %d, its zone had %d", in.id, c.Revision, *highest)
	case in.active == nil && !in.sourced:
		j.failf(checkGuess, "%s starts with %d, which neither the platform nor its zone showed", in.id, c.Revision)
	}
	*highest = max(*highest, c.Revision)
	j.activated = append(j.activated, c)
	for _, e := range j.w.edits {
		j.compare(e, c)
	}
}

// told is told each outcome of an edit; the change may be active already.
func (j *judge) told(e *edit) {
	for _, c := range j.activated {
		j.compare(e, c)
	}
}

// compare looks for a change in a document that was active.
func (j *judge) compare(e *edit, c *document.Compiled) {
	made := strings.Count(j.w.texts[c], e.mark)
	switch {
	case made > 1:
		j.failf(checkOutcome, "change %d is made %d times in revision %d", e.number, made, c.Revision)
	case e.outcome == refused && made > 0:
		j.failf(checkOutcome, "change %d was refused and is in revision %d", e.number, c.Revision)
	case e.outcome == accepted && made == 0 && c.Revision >= e.revision:
		j.failf(checkLost, "change %d is not in revision %d", e.number, c.Revision)
	}
}

// gone is told when an instance no longer shows another one.
func (j *judge) gone(in, other *instance) {
	if other.dead || other.paused || j.news(other) {
		return
	}
	j.failf(checkFalseDeath, "%s believes that %s is dead", in.id, other.id)
}

// news tells whether word of a pause may still be on its way.
func (j *judge) news(other *instance) bool {
	if other.resumedAt.IsZero() {
		return false
	}
	return j.w.Now.Sub(other.resumedAt) < newsTime ||
		j.w.network.recentlyCut() && other.resumedAt.After(j.w.network.cutAt)
}

// holds is told each statement of what an instance holds.
func (j *judge) holds(in *instance, before []control.HeldShard) {
	for _, h := range in.held {
		end, ended := j.ends[h.Shard]
		if ended && end.by != in && j.w.Now.Sub(end.at) < j.w.doc.Quarantine {
			j.failf(checkQuarantine, "%s uses %s %v after the end of %s", in.id, j.w.shardName(h.Shard),
				j.w.Now.Sub(end.at).Round(time.Millisecond), end.by.id)
		}
		delete(j.ends, h.Shard)
	}
	j.scanShards()
}

// stops is told when an instance is about to be killed or paused.
func (j *judge) stops(in *instance) {
	for _, h := range in.held {
		if in.uses(h.Shard) {
			j.ends[h.Shard] = abruptEnd{by: in, at: j.w.Now}
		}
	}
}

// scanShards looks for shards with two users, and returns the users.
func (j *judge) scanShards() map[document.ShardID]*instance {
	users := map[document.ShardID]*instance{}
	for _, in := range j.w.instances {
		for _, h := range in.held {
			if !in.uses(h.Shard) {
				continue
			}
			if other := users[h.Shard]; other != nil {
				j.failf(checkTwoHolders, "%s and %s use %s", other.id, in.id, j.w.shardName(h.Shard))
			}
			users[h.Shard] = in
		}
	}
	return users
}

// end looks for accepted changes that the store lost.
func (j *judge) end() {
	for _, e := range j.w.edits {
		j.told(e)
	}
}
