package lease

import "time"

// Times of a handover.
const (
	handInterval = 300 * time.Millisecond
	// handLife is how old a handover may be when it arrives; the sender may
	// have given up since, and the shard may lapse to another instance after
	// the quarantine.
	handLife = 5 * time.Second
	// evenDelay is how long the difference in shards lasts before one moves.
	evenDelay = 5 * time.Second
)

// tickDropping hands the shard over or releases it once no request is in
// flight. A handover needs no platform, so shards survive the replacement of
// all instances during an outage.
func (k *Keeper) tickDropping(s *slot, now time.Time) {
	// Requests may have started between the last report and the end of the use,
	// so only a later report counts.
	if k.view.Drained.After(s.changed) || now.Sub(s.changed) >= k.view.Quarantine {
		k.passOn(s, now)
	}
}

// passOn chooses the next holder. A renewal with an unknown outcome does not
// matter to it: the row then names this instance with an epoch that it accepts.
func (k *Keeper) passOn(s *slot, now time.Time) {
	successor := k.successor(s)
	switch {
	case successor != nil:
		s.successor = successor.ID
		s.handSent = time.Time{}
		k.set(s, handing, now, "handing over")
		k.tickHanding(s, now)
	case k.view.Leaving:
		k.set(s, releasing, now, "releasing")
		k.tickReleasing(s, now)
	default:
		s.refusedBy = nil
		k.set(s, holding, now, "kept")
	}
}

// successor is the live zone peer with the fewest shards that did not refuse.
func (k *Keeper) successor(s *slot) *ZonePeer {
	var best *ZonePeer
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if m.Gone || m.Leaving || s.refusedBy[m.ID] {
			continue
		}
		if best == nil || len(m.Shards) < len(best.Shards) {
			best = m
		}
	}
	return best
}

func (k *Keeper) tickHanding(s *slot, now time.Time) {
	m := k.zonePeer(s.successor)
	if m == nil || m.Gone {
		// It may have accepted before it died, so the shard lapses.
		k.set(s, idle, now, "successor is gone")
		return
	}
	if now.Sub(s.handSent) < handInterval {
		return
	}
	s.handSent = now
	k.do(Output{
		Kind: SendHandover, Index: s.index, To: m.ID, Address: m.Address,
		Row: s.row, Version: s.version, Epoch: s.epoch + 1,
	})
}

func (k *Keeper) zonePeer(id string) *ZonePeer {
	for i := range k.view.ZonePeers {
		if k.view.ZonePeers[i].ID == id {
			return &k.view.ZonePeers[i]
		}
	}
	return nil
}

// HandoverAnswered takes the answer of the successor.
func (k *Keeper) HandoverAnswered(index uint16, epoch uint64, from string, accepted bool, now time.Time) {
	if int(index) >= len(k.slots) {
		return
	}
	s := &k.slots[index]
	if s.state != handing || s.successor != from || epoch != s.epoch+1 {
		return
	}
	s.lastEpoch = max(s.lastEpoch, epoch)
	if accepted {
		s.refusedBy = nil
		s.known = false
		k.set(s, idle, now, "handed over")
		return
	}
	// A refusal is final for its epoch, so the next attempt has another one.
	s.epoch++
	if s.refusedBy == nil {
		s.refusedBy = map[string]bool{}
	}
	s.refusedBy[from] = true
	s.basis = s.row
	k.passOn(s, now)
}

// Handover takes a shard that a zone peer passes on, and tells whether it accepts.
func (k *Keeper) Handover(index uint16, epoch uint64, from string, row Row, version uint64, sent, now time.Time) bool {
	if int(index) >= len(k.slots) {
		return false
	}
	s := &k.slots[index]
	if epoch <= s.lastEpoch {
		return epoch == s.acceptedAt
	}
	s.lastEpoch = epoch
	age := now.Sub(sent)
	refused := s.state != idle || s.write.inFlight || s.uncertain || k.view.Leaving || !k.view.Fresh ||
		age > handLife || age < -clockMargin
	if refused {
		return false
	}
	s.acceptedAt = epoch
	s.basis = row
	s.from = from
	s.row, s.version, s.known = row, version, true
	s.epoch = epoch
	s.takenAt = now
	s.write = write{}
	k.set(s, holding, now, "accepted from a zone peer")
	return true
}

// tickReleasing writes the released row.
func (k *Keeper) tickReleasing(s *slot, now time.Time) {
	if s.write.inFlight || s.uncertain || now.Sub(s.write.sent) < retryInterval && s.write.row.Released {
		return
	}
	k.send(s, Row{
		Holder: k.self, Address: k.address, Epoch: s.epoch,
		ExpiryMillis: now.UnixMilli(), Released: true,
	}, now)
}

// rebalance gives a shard to a zone peer that holds at least two fewer.
func (k *Keeper) rebalance(now time.Time) {
	own := len(k.Claims())
	fewest := -1
	for i := range k.view.ZonePeers {
		m := &k.view.ZonePeers[i]
		if !m.Gone && !m.Leaving && (fewest < 0 || len(m.Shards) < fewest) {
			fewest = len(m.Shards)
		}
	}
	steady := fewest >= 0 && own-fewest >= 2 && !k.view.Leaving && k.view.Fresh && k.allHolding()
	if !steady {
		k.uneven = time.Time{}
		return
	}
	if k.uneven.IsZero() {
		k.uneven = now
	}
	if now.Sub(k.uneven) < evenDelay {
		return
	}
	k.uneven = time.Time{}
	for i := len(k.slots) - 1; i >= 0; i-- {
		if s := &k.slots[i]; s.state == holding && !s.write.inFlight && !s.uncertain {
			k.set(s, dropping, now, "a zone peer has fewer shards")
			return
		}
	}
}

// allHolding tells that no shard is on its way in or out.
func (k *Keeper) allHolding() bool {
	for i := range k.slots {
		if st := k.slots[i].state; st != holding && st != idle {
			return false
		}
	}
	return true
}
