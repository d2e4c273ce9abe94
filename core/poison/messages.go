package poison

import (
	"maps"
	"slices"
	"time"
)

// Messages is what an instance sends to others.
type Messages struct {
	// Reports are for keepers, by their names.
	Reports map[string][]Report
	// Cleared are verdicts for keepers, by their names: requests that were
	// suspects and have been served.
	Cleared map[string][]Verdict
	// New are verdicts for all instances.
	New []Verdict
	// Repeated are verdicts for the receivers of a regular heartbeat, some of
	// which may have missed them.
	Repeated []Verdict
}

// NextMessages returns what is to be sent with the next heartbeat.
func (d *Detector) NextMessages(now time.Time) Messages {
	m := Messages{Reports: map[string][]Report{}, Cleared: map[string][]Verdict{}}
	kept := d.pending[:0]
	for _, p := range d.pending {
		if d.addReport(now, m.Reports, p) {
			kept = append(kept, p)
		}
	}
	d.pending = kept
	for _, fingerprint := range d.cleared {
		for _, keeper := range d.keepersOf(fingerprint) {
			if keeper != d.self && len(m.Cleared[keeper]) < maxKeeperReports {
				m.Cleared[keeper] = append(m.Cleared[keeper], Verdict{Fingerprint: fingerprint})
			}
		}
	}
	d.cleared = nil
	for _, fingerprint := range d.sorted() {
		if v := d.verdicts[fingerprint]; v.sends > 0 && len(m.New) < maxKeeperReports {
			v.sends--
			m.New = append(m.New, v.asOf(now))
		}
	}
	m.Repeated = d.nextRepeated(now)
	return m
}

// addReport adds a report to the messages to the keepers that have not received
// it often enough. It returns false if there are none.
func (d *Detector) addReport(now time.Time, messages map[string][]Report, p pendingReport) bool {
	if d.Blocked(p.fingerprint) {
		return false
	}
	incomplete := false
	for _, keeper := range d.keepersOf(p.fingerprint) {
		if keeper == d.self || p.sends[keeper] >= reportSends {
			continue
		}
		if len(messages[keeper]) < maxKeeperReports {
			messages[keeper] = append(messages[keeper], p.report(now))
			p.sends[keeper]++
		}
		incomplete = incomplete || p.sends[keeper] < reportSends
	}
	return incomplete
}

// nextRepeated returns the next verdicts to repeat, each in turn.
func (d *Detector) nextRepeated(now time.Time) []Verdict {
	fingerprints := d.sorted()
	if len(fingerprints) == 0 {
		return nil
	}
	first, found := slices.BinarySearch(fingerprints, d.repeatAfter)
	if found {
		first++
	}
	var repeated []Verdict
	for i := range min(RepeatedVerdicts, len(fingerprints)) {
		v := d.verdicts[fingerprints[(first+i)%len(fingerprints)]]
		repeated = append(repeated, v.asOf(now))
		d.repeatAfter = v.Fingerprint
	}
	return repeated
}

func (v *verdict) asOf(now time.Time) Verdict {
	current := v.Verdict
	current.Quiet = max(now.Sub(v.lastCopy), 0)
	return current
}

// Verdicts returns all verdicts, for an instance that starts.
func (d *Detector) Verdicts(now time.Time) []Verdict {
	var all []Verdict
	for _, fingerprint := range d.sorted() {
		all = append(all, d.verdicts[fingerprint].asOf(now))
	}
	return all
}

func (d *Detector) sorted() []uint64 { return slices.Sorted(maps.Keys(d.verdicts)) }

// Unsaved returns up to limit verdicts that are to be saved outside the fleet:
// those that this instance declared, and those of requests that keep coming.
func (d *Detector) Unsaved(now time.Time, limit int) []Verdict {
	var unsaved []Verdict
	for _, fingerprint := range d.sorted() {
		v := d.verdicts[fingerprint]
		stale := v.Blocked && v.lastCopy.Sub(later(v.since, v.savedAt)) >= saveInterval
		if len(unsaved) < limit && (v.unsaved || stale && d.isFirstKeeper(fingerprint)) {
			unsaved = append(unsaved, v.asOf(now))
		}
	}
	return unsaved
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Saved records that a verdict was saved, unless a newer one holds by now.
func (d *Detector) Saved(now time.Time, saved Verdict) {
	if v := d.verdicts[saved.Fingerprint]; v != nil && v.Serial == saved.Serial {
		v.unsaved, v.savedAt = false, now
	}
}

// SaveAgain marks the verdicts as unsaved whose requests this instance is the
// first keeper of, after what was saved may have been lost.
func (d *Detector) SaveAgain() {
	for fingerprint, v := range d.verdicts {
		v.unsaved = v.unsaved || d.isFirstKeeper(fingerprint)
	}
}
