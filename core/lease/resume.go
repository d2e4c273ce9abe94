package lease

import "time"

// Times of the confirmation after a pause.
const (
	confirmInterval = 500 * time.Millisecond
	// resumeLife is how long a paused holder claims its shard. After it others
	// may take the shard, and the holder gets it back only if none did.
	resumeLife = 30 * time.Second
)

// resume confirms a shard that this instance held before a pause. At the
// platform only a conditional write confirms: between a read and its answer
// another instance may write the row.
func (k *Keeper) resume(s *slot, now time.Time) {
	if now.Sub(s.changed) >= resumeLife && !s.yielded {
		s.yielded = true
		k.note(s, "not confirmed")
		k.do(Output{Kind: Changed})
	}
	if !s.write.inFlight && !s.uncertain && now.Sub(s.write.sent) >= retryInterval {
		k.renew(s, now)
	}
	if k.view.Down {
		k.askZonePeers(s, now)
	}
}

// askZonePeers asks the zone for the confirmation while the platform is down. It
// is safe only as long as no candidate can have seen a whole quarantine of
// silence.
func (k *Keeper) askZonePeers(s *slot, now time.Time) {
	if !k.confirmable(s, now) || now.Sub(s.confirmAt) < confirmInterval {
		return
	}
	s.confirmAt = now
	s.round++
	s.confirms = map[string]bool{}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if !m.Gone {
			k.do(Output{Kind: SendConfirm, Index: s.index, To: m.ID, Address: m.Address, Epoch: s.epoch, Round: s.round})
		}
	}
}

func (k *Keeper) confirmable(s *slot, now time.Time) bool {
	return k.view.Fresh && now.Sub(s.lostAt) < k.view.Quarantine-2*clockMargin
}

// Unchanged answers the question of a paused holder: this instance takes no
// step to take the shard and knows of no higher epoch.
func (k *Keeper) Unchanged(index uint16, epoch uint64, from string) bool {
	if int(index) >= len(k.slots) {
		return false
	}
	s := &k.slots[index]
	if s.state != idle || s.write.inFlight || s.uncertain || s.lastEpoch > epoch {
		return false
	}
	if s.known && s.row.Epoch > epoch {
		return false
	}
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.ID != from && m.claims(index) {
			return false
		}
	}
	s.silent = time.Time{}
	s.takeable = time.Time{}
	return true
}

// Confirmed takes the answer of a zone peer; all live zone peers have to agree.
func (k *Keeper) Confirmed(index uint16, epoch, round uint64, from string, unchanged bool, now time.Time) {
	if int(index) >= len(k.slots) {
		return
	}
	s := &k.slots[index]
	if s.state != resuming || s.epoch != epoch || s.round != round || !unchanged || s.confirms == nil {
		return
	}
	s.confirms[from] = true
	asked := 0
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.Gone {
			continue
		}
		asked++
		if !s.confirms[m.ID] {
			return
		}
	}
	if asked > 0 && k.confirmable(s, now) {
		k.set(s, holding, now, "confirmed by the zone")
	}
}
