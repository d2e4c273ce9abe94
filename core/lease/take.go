package lease

import (
	"hash/fnv"
	"time"
)

const (
	probeInterval = 1 * time.Second
	// rowLife is how long a read row counts. A write on an older one fails, but
	// an instance that tries it denies a paused holder the confirmation.
	rowLife = readInterval + 5*time.Second
)

// tryTake takes a shard that nobody uses.
func (k *Keeper) tryTake(s *slot, now time.Time) {
	current := s.known && now.Sub(s.readAt) < rowLife
	if k.view.Leaving || !k.view.Fresh || !current || s.uncertain || s.write.inFlight || k.busy() {
		s.takeable = time.Time{}
		return
	}
	if k.claimed(s) {
		s.silent = time.Time{}
		s.takeable = time.Time{}
		return
	}
	rank, fewer := k.rank(s.index)
	if !k.free(s, rank, now) {
		s.takeable = time.Time{}
		return
	}
	if s.takeable.IsZero() {
		s.takeable = now
	}
	delay := time.Duration(min(rank, 4)) * rankDelay
	if fewer {
		delay += severalDelay
	}
	if now.Sub(s.takeable) < delay {
		return
	}
	k.set(s, taking, now, "taking")
	k.send(s, Row{
		Holder: k.self, Address: k.address, Epoch: max(s.row.Epoch, s.lastEpoch) + 1,
		ExpiryMillis: now.Add(Term).UnixMilli(),
	}, now)
}

// busy tells whether a shard is being taken; one at a time keeps the ranks of
// the zone peers right.
func (k *Keeper) busy() bool {
	for i := range k.slots {
		if k.slots[i].state == taking {
			return true
		}
	}
	return false
}

// rank counts the live zone peers that should take the shard first: those that hold
// fewer shards, then by hash. It also tells whether any holds fewer.
func (k *Keeper) rank(index uint16) (rank int, fewer bool) {
	own := len(k.Claims())
	ownHash := spread(k.self, index)
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.Gone || m.Leaving {
			continue
		}
		theirs := len(m.Shards)
		fewer = fewer || theirs < own
		if theirs < own || theirs == own && spread(m.ID, index) < ownHash {
			rank++
		}
	}
	return rank, fewer
}

func spread(id string, index uint16) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(index), byte(index >> 8)})
	h.Write([]byte(id))
	return h.Sum64()
}

// free tells whether the row allows another holder.
func (k *Keeper) free(s *slot, rank int, now time.Time) bool {
	if s.version == 0 || s.row.Released {
		return true
	}
	if rank > 1 {
		return false // Two candidates probe; more would only add traffic.
	}
	return k.lapsed(s, now)
}

// lapsed tells whether the previous holder is gone for long enough. Beside the
// expiry and the quarantine it requires that nobody showed a sign of use for a
// whole quarantine: a holder without the platform goes on after its expiry, so
// the expiry may be long past when it dies, and a holder that is paused for
// less than MaxGap goes on afterwards without asking.
func (k *Keeper) lapsed(s *slot, now time.Time) bool {
	if s.silent.IsZero() {
		s.silent = k.silentSince(s, now)
		s.unused = map[string]time.Time{}
	}
	ending := now.Sub(s.silent) >= k.view.Quarantine
	k.probe(s, ending, now)
	if !ending || now.Before(s.row.Expiry().Add(k.view.Quarantine+clockMargin)) {
		return false
	}
	return k.allUnused(s, now)
}

// silentSince is the start of a window: now, or the death of the last instance
// that used the shard if this instance saw it.
func (k *Keeper) silentSince(s *slot, now time.Time) time.Time {
	since := time.Time{}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.claims(s.index) && m.GoneSince.After(since) {
			since = m.GoneSince
		}
	}
	if since.Before(k.since) {
		return now
	}
	return since
}

// probe asks the previous holder during the window, and all zone peers at its end.
func (k *Keeper) probe(s *slot, ending bool, now time.Time) {
	if now.Sub(s.probed) < probeInterval {
		return
	}
	s.probed = now
	if s.row.Holder != k.self {
		k.do(Output{Kind: SendProbe, Index: s.index, To: s.row.Holder, Address: s.row.Address, Epoch: s.row.Epoch})
	}
	if !ending {
		return
	}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if !m.Gone && m.ID != s.row.Holder && now.Sub(s.unused[m.ID]) > answerLife/2 {
			k.do(Output{Kind: SendProbe, Index: s.index, To: m.ID, Address: m.Address, Epoch: s.row.Epoch})
		}
	}
}

// answerLife is how long the answer of a zone peer that it does not use a shard
// counts.
const answerLife = 5 * time.Second

func (k *Keeper) allUnused(s *slot, now time.Time) bool {
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if !m.Gone && now.Sub(s.unused[m.ID]) > answerLife {
			return false
		}
	}
	return true
}

// Probed answers a probe: whether this instance uses the shard or may use it.
func (k *Keeper) Probed(index uint16) bool {
	if int(index) >= len(k.slots) {
		return false
	}
	s := &k.slots[index]
	return s.state != idle && !s.yielded
}

// ProbeAnswered takes the answer of an instance.
func (k *Keeper) ProbeAnswered(index uint16, from string, used bool, now time.Time) {
	if int(index) >= len(k.slots) {
		return
	}
	s := &k.slots[index]
	if used {
		s.silent = time.Time{}
		s.unused = nil
		return
	}
	if s.unused != nil {
		s.unused[from] = now
	}
}
