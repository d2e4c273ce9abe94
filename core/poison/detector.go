package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of crashed targets from which on a request is
	// blocked. A lower limit would block popular reads that were in flight while
	// a zone lost power.
	minCrashes = 3
	// evidenceTTL is how long a broken exchange counts.
	evidenceTTL = 2 * time.Minute
	// concurrencySlack is how much earlier than the end of a broken exchange
	// another one may have begun and still follow it: ages of reports do not
	// include the time that the report takes.
	concurrencySlack = 100 * time.Millisecond
	// keepers is the number of instances that collect the evidence on a request.
	keepers = 3
	// reportSends is how often a report is sent to each keeper, and verdictSends
	// how often a new verdict is sent to each instance: one message may be lost.
	reportSends  = 2
	verdictSends = 2
	// blockTTL is how long after its last copy a request stays blocked, clearTTL
	// how long a cleared request is remembered, so that late news of the block is
	// recognized as such.
	blockTTL = time.Hour
	clearTTL = 10 * time.Minute
	// saveInterval is how old the saved time of the last copy may be. It leaves
	// half of blockTTL to an instance that starts.
	saveInterval = blockTTL / 2
	// ProbeDelay is how long after a block the first keeper sends one copy to a
	// target, to end a block that was a mistake. The next probe follows after
	// probeBackoff times that, and maxProbes is the number of probes.
	ProbeDelay   = time.Minute
	probeBackoff = 10
	maxProbes    = 2
	// maxSuspects, maxVerdicts and maxReports bound the tables, maxEvidence the
	// exchanges that are kept of one request. evictedSuspects are dropped at once
	// if the table is full.
	maxSuspects     = 4096
	evictedSuspects = maxSuspects / 4
	maxVerdicts     = 1024
	maxReports      = 1024
	maxEvidence     = 16
	// maxKeeperReports bounds the reports in one message, RepeatedVerdicts the
	// verdicts that a heartbeat repeats.
	maxKeeperReports = 48
	RepeatedVerdicts = 4
	// quietTolerance is by how much the time of the last copy must differ to be
	// taken over: it comes late by the time that each message takes, and would
	// otherwise move on with each repetition.
	quietTolerance = 10 * time.Second
)

// Report describes an exchange that ended without a complete response, and whose
// target closed the connection or is lost.
type Report struct {
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Target is a hash of the target and its boot: a target that starts again
	// can crash again.
	Target uint64
	// SentAgo is how long ago the exchange began, BrokenAgo how long ago the
	// connection was closed or the loss of a silent target became known.
	SentAgo, BrokenAgo time.Duration
	// Silent is set if the target fell silent instead of closing the connection.
	// AliveAgo is how long ago it had last responded to the reporting instance
	// before the exchange, 0 if that is not known.
	Silent   bool
	AliveAgo time.Duration
}

// at returns the exchange that a report describes at a time.
func (r Report) at(now time.Time) exchange {
	x := exchange{fingerprint: r.Fingerprint, target: r.Target, sent: now.Add(-r.SentAgo), broken: now.Add(-r.BrokenAgo), silent: r.Silent}
	if r.AliveAgo > 0 {
		x.alive = now.Add(-r.AliveAgo)
	}
	return x
}

// exchange is one that ended without a complete response. The fields are as in
// Report.
type exchange struct {
	fingerprint, target uint64
	sent, broken        time.Time
	silent              bool
	// alive is the zero time if it is not known.
	alive time.Time
}

// report describes the exchange as of a time.
func (x exchange) report(now time.Time) Report {
	r := Report{Fingerprint: x.fingerprint, Target: x.target, SentAgo: max(now.Sub(x.sent), 0), BrokenAgo: max(now.Sub(x.broken), 0), Silent: x.silent}
	if !x.alive.IsZero() {
		r.AliveAgo = max(now.Sub(x.alive), time.Millisecond)
	}
	return r
}

// follows reports whether the target of x was lost after that of another exchange
// was: x is then no victim of what took the other target down. Losses that become
// known noticeSpread apart are separate ones.
func (x exchange) follows(earlier exchange, noticeSpread time.Duration) bool {
	switch {
	case x.target == earlier.target:
		return false
	case !x.silent && !earlier.silent:
		return !x.sent.Before(earlier.broken.Add(-concurrencySlack))
	case !x.silent:
		return !x.sent.Before(earlier.lostBy())
	default:
		// A silent target may have been lost before the exchange began.
		return !x.alive.Before(earlier.lostBy()) || !x.broken.Before(earlier.broken.Add(noticeSpread))
	}
}

// lostBy returns when the target is expected to have been lost at the latest.
func (x exchange) lostBy() time.Time {
	if !x.silent {
		return x.broken
	}
	return later(x.sent, x.alive).Add(lossUncertainty)
}

// Verdict states whether copies of a request are refused.
type Verdict struct {
	Fingerprint uint64
	// Serial orders the verdicts on a request.
	Serial  uint32
	Blocked bool
	// Crashes is the number of targets that the request is known to have
	// crashed.
	Crashes int
	// Quiet is how long no copy was seen.
	Quiet time.Duration
}

// replaces reports whether v is to be used in place of o. Of two verdicts that
// were declared at the same time, the one that clears the request holds: a copy
// was served.
func (v Verdict) replaces(o Verdict) bool {
	switch {
	case v.Serial != o.Serial:
		return v.Serial > o.Serial
	case v.Blocked != o.Blocked:
		return !v.Blocked
	default:
		return v.Crashes > o.Crashes
	}
}

// Change is a verdict that began to hold here.
type Change struct {
	Verdict
	// Received is set if another instance declared it.
	Received bool
}

// suspect holds the evidence on a request, oldest first, one exchange for each
// target.
type suspect struct {
	evidence []exchange
}

// crashes returns the number of distinct targets, and whether one of them was lost
// after another one. Targets that were all lost at the same time may have a common
// reason for it.
func (s *suspect) crashes(noticeSpread time.Duration) (distinct int, consecutive bool) {
	for _, earlier := range s.evidence {
		for _, x := range s.evidence {
			consecutive = consecutive || x.follows(earlier, noticeSpread)
		}
	}
	return len(s.evidence), consecutive
}

// verdict is the newest verdict on a request.
type verdict struct {
	Verdict
	// since is when it began to hold here, lastCopy when a copy was last seen
	// anywhere, probedAt when this instance last sent a probe.
	since, lastCopy, probedAt time.Time
	// sends counts the messages that are still to be sent to all instances.
	sends int
	// unsaved is set if it is to be saved outside the fleet, savedAt is when this
	// instance last did so.
	unsaved bool
	savedAt time.Time
}

// pendingReport is a report that this instance has yet to send to keepers.
type pendingReport struct {
	exchange
	sends map[string]int
}

// Detector holds what an instance knows of poison requests. It is not safe for
// concurrent use.
type Detector struct {
	self      string
	instances []string
	suspects  map[uint64]*suspect
	verdicts  map[uint64]*verdict
	served    servedRequests
	// exposures are the exchanges without a response of this instance, by target.
	exposures map[uint64]*exposures
	// reportInterval is how often targets renew their registry entries.
	reportInterval time.Duration
	pending        []pendingReport
	// cleared are suspects of other instances that were served here.
	cleared []uint64
	changes []Change
	// repeatAfter is the fingerprint after which the next heartbeat continues to
	// repeat verdicts.
	repeatAfter uint64
}

// New returns the detector of an instance.
func New(self string) *Detector {
	return &Detector{self: self, suspects: map[uint64]*suspect{}, verdicts: map[uint64]*verdict{}, exposures: map[uint64]*exposures{}, reportInterval: defaultReportInterval}
}

// SetInstances sets the names of the other live instances.
func (d *Detector) SetInstances(names []string) { d.instances = names }

// keepersOf returns the instances that collect the evidence on a request, the
// preferred one first.
func (d *Detector) keepersOf(fingerprint uint64) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, 0, len(d.instances)+1)
	for _, name := range append([]string{d.self}, d.instances...) {
		candidates = append(candidates, candidate{name, mix(xxhash.Sum64String(name), fingerprint)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name)) })
	var names []string
	for _, c := range candidates[:min(keepers, len(candidates))] {
		names = append(names, c.name)
	}
	return names
}

func (d *Detector) isFirstKeeper(fingerprint uint64) bool {
	return d.keepersOf(fingerprint)[0] == d.self
}

// mix hashes two numbers.
func mix(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Blocked reports whether copies of a request are refused.
func (d *Detector) Blocked(fingerprint uint64) bool {
	v := d.verdicts[fingerprint]
	return v != nil && v.Blocked
}

// Admit reports whether a copy of a request may be sent to a target. A copy of a
// blocked request may be if it is a probe.
func (d *Detector) Admit(now time.Time, fingerprint uint64) bool {
	v := d.verdicts[fingerprint]
	if v == nil || !v.Blocked {
		return true
	}
	v.lastCopy = now
	if !d.mayProbe(now, v) {
		return false
	}
	v.probedAt = now
	return true
}

// mayProbe reports whether this instance may send one copy of a blocked request.
// Only the first keeper does, so that a fleet does not probe many times.
func (d *Detector) mayProbe(now time.Time, v *verdict) bool {
	probes := v.Crashes - minCrashes
	if probes >= maxProbes {
		return false
	}
	delay := ProbeDelay
	for range probes {
		delay *= probeBackoff
	}
	if now.Sub(v.since) < delay || now.Sub(v.probedAt) < delay {
		return false
	}
	return d.isFirstKeeper(v.Fingerprint)
}

// RecordBreak records an exchange of this instance whose connection the target
// closed before a complete response.
func (d *Detector) RecordBreak(now time.Time, r Report) { d.recordEvidence(now, r.at(now)) }

// recordEvidence records an exchange of this instance whose target may have
// crashed.
func (d *Detector) recordEvidence(now time.Time, x exchange) {
	if d.served.excuses(now, x) {
		return
	}
	if v := d.verdicts[x.fingerprint]; v != nil && v.Blocked {
		d.declare(now, x.fingerprint, true, v.Crashes+1)
		return
	}
	if len(d.pending) == maxReports {
		d.pending = d.pending[1:]
	}
	d.pending = append(d.pending, pendingReport{x, map[string]int{}})
	d.addEvidence(now, x)
}

// RecordSuccess records a complete response to a request of this instance.
func (d *Detector) RecordSuccess(now time.Time, fingerprint uint64) {
	d.served.record(now, fingerprint)
	if v := d.verdicts[fingerprint]; v != nil && v.Blocked {
		d.declare(now, fingerprint, false, 0)
	} else if d.suspects[fingerprint] != nil && len(d.cleared) < maxReports {
		d.cleared = append(d.cleared, fingerprint)
	}
	delete(d.suspects, fingerprint)
	if len(d.pending) > 0 {
		d.pending = slices.DeleteFunc(d.pending, func(p pendingReport) bool { return p.fingerprint == fingerprint })
	}
}

// addEvidence adds a broken exchange and blocks the request if there is enough
// evidence.
func (d *Detector) addEvidence(now time.Time, x exchange) {
	s := d.suspects[x.fingerprint]
	if s == nil {
		if len(d.suspects) >= maxSuspects {
			d.evictSuspects(now)
		}
		s = &suspect{}
		d.suspects[x.fingerprint] = s
	}
	if i := slices.IndexFunc(s.evidence, func(known exchange) bool { return known.target == x.target }); i >= 0 {
		if !s.evidence[i].silent || x.silent {
			return
		}
		// A closed connection says more precisely when the target was lost.
		s.evidence = slices.Delete(s.evidence, i, i+1)
	}
	s.evidence = slices.DeleteFunc(s.evidence, func(known exchange) bool { return now.Sub(known.broken) >= evidenceTTL })
	if len(s.evidence) == maxEvidence {
		s.evidence = s.evidence[1:]
	}
	s.evidence = append(s.evidence, x)
	if crashes, consecutive := s.crashes(d.noticeSpread()); crashes >= minCrashes && consecutive {
		d.declare(now, x.fingerprint, true, crashes)
	}
}

// evictSuspects makes room in the table of suspects: it drops those with the
// least evidence, the oldest ones first.
func (d *Detector) evictSuspects(now time.Time) {
	d.expireSuspects(now)
	fingerprints := slices.SortedFunc(maps.Keys(d.suspects), func(a, b uint64) int {
		x, y := d.suspects[a].evidence, d.suspects[b].evidence
		return cmp.Or(cmp.Compare(len(x), len(y)), x[0].broken.Compare(y[0].broken), cmp.Compare(a, b))
	})
	for _, fingerprint := range fingerprints[:min(evictedSuspects, len(fingerprints))] {
		delete(d.suspects, fingerprint)
	}
}

// declare replaces the verdict on a request by one of this instance.
func (d *Detector) declare(now time.Time, fingerprint uint64, blocked bool, crashes int) {
	serial := uint32(1)
	if v := d.verdicts[fingerprint]; v != nil {
		serial = v.Serial + 1
	}
	v := d.adopt(now, Verdict{Fingerprint: fingerprint, Serial: serial, Blocked: blocked, Crashes: crashes}, false)
	v.sends, v.unsaved = verdictSends, true
}

// adopt makes a verdict hold here.
func (d *Detector) adopt(now time.Time, declared Verdict, received bool) *verdict {
	if len(d.verdicts) >= maxVerdicts && d.verdicts[declared.Fingerprint] == nil {
		d.evictVerdict()
	}
	v := &verdict{Verdict: declared, since: now, lastCopy: now.Add(-declared.Quiet)}
	d.verdicts[declared.Fingerprint] = v
	delete(d.suspects, declared.Fingerprint)
	d.changes = append(d.changes, Change{declared, received})
	return v
}

// evictVerdict drops the verdict of the request that was not seen for longest.
func (d *Detector) evictVerdict() {
	var victim *verdict
	for _, v := range d.verdicts {
		if victim == nil || v.lastCopy.Before(victim.lastCopy) {
			victim = v
		}
	}
	delete(d.verdicts, victim.Fingerprint)
}

// RecordReports records reports that another instance sent to this one as a
// keeper.
func (d *Detector) RecordReports(now time.Time, reports []Report) {
	for _, r := range reports {
		if !d.Blocked(r.Fingerprint) {
			d.addEvidence(now, r.at(now))
		}
	}
}

// RecordVerdicts records verdicts of other instances, or saved ones.
func (d *Detector) RecordVerdicts(now time.Time, verdicts []Verdict) {
	for _, received := range verdicts {
		known := d.verdicts[received.Fingerprint]
		switch {
		case received.Serial == 0:
			// The sender served a copy while it was only a suspect.
			delete(d.suspects, received.Fingerprint)
		case received.Blocked && received.Quiet >= blockTTL:
		case known == nil || received.replaces(known.Verdict):
			d.adopt(now, received, true)
			if received.Blocked && d.served.isHarmless(now, received.Fingerprint) {
				d.declare(now, received.Fingerprint, false, 0)
			}
		default:
			if copyAt := now.Add(-received.Quiet); copyAt.Sub(known.lastCopy) > quietTolerance {
				known.lastCopy = copyAt
			}
		}
	}
}

// Expire drops what is out of date.
func (d *Detector) Expire(now time.Time) {
	d.expireSuspects(now)
	d.expireExposures(now)
	for fingerprint, v := range d.verdicts {
		ttl := blockTTL
		if !v.Blocked {
			ttl = clearTTL
		}
		if now.Sub(v.lastCopy) >= ttl {
			delete(d.verdicts, fingerprint)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(p pendingReport) bool { return now.Sub(p.broken) >= evidenceTTL })
}

func (d *Detector) expireSuspects(now time.Time) {
	for fingerprint, s := range d.suspects {
		if now.Sub(s.evidence[len(s.evidence)-1].broken) >= evidenceTTL {
			delete(d.suspects, fingerprint)
		}
	}
}

// TakeChanges returns the verdicts that began to hold since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}
