package poison

import (
	"slices"
	"time"
)

const (
	// exposureTTL is how long an exchange without a response counts if its target
	// is lost later. The registry takes several seconds to notice a loss.
	exposureTTL = 30 * time.Second
	// abandonSlack is how long after the end of an exchange its target may still
	// begin to run the request: it learns of the end a little later, if at all.
	abandonSlack = 500 * time.Millisecond
	// defaultReportInterval is the interval at which targets renew their registry
	// entries, unless SetReportInterval is called. An entry ends after three of
	// them without a report, so at least two after the loss of its target.
	defaultReportInterval = 1500 * time.Millisecond
	// minDowntime is the shortest time between the loss of a target and the entry
	// of its next start.
	minDowntime = time.Second
	// lossUncertainty is by how much a target that fell silent may have been lost
	// later than its last response or the start of the exchange.
	lossUncertainty = time.Second
	// maxRunTime is how long a target that has not responded to a request may still
	// be running it, and begin to run others.
	maxRunTime = 2 * time.Second
	// maxEndedExposures bounds the ended exchanges that are kept of one target.
	maxEndedExposures = 256
)

// SetReportInterval sets the interval at which targets renew their registry
// entries.
func (d *Detector) SetReportInterval(interval time.Duration) {
	if interval > 0 {
		d.reportInterval = interval
	}
}

// minSilence is how long a target whose registry entry ended must have sent
// nothing to count as lost. Others leave without notice, and go on responding.
func (d *Detector) minSilence() time.Duration { return d.reportInterval * 4 / 3 }

// noticeSpread is the longest time between the notices of the losses of two
// targets that were lost at the same time: entries end up to a report interval
// apart, and targets that are back earlier restart.
func (d *Detector) noticeSpread() time.Duration { return 2 * d.reportInterval }

// exposure is an exchange to which a target has not responded.
type exposure struct {
	fingerprint uint64
	sent        time.Time
	// alive is when the target had last responded before.
	alive time.Time
	// ended is when this instance gave it up, or the zero time while it waits for
	// the response.
	ended time.Time
}

// exposures are the exchanges of one start of a target.
type exposures struct {
	waiting, ended []exposure
	// alive is when the target last responded to this instance.
	alive time.Time
}

// exposuresOf returns the exchanges of a target.
func (d *Detector) exposuresOf(target uint64) *exposures {
	e := d.exposures[target]
	if e == nil {
		e = &exposures{}
		d.exposures[target] = e
	}
	return e
}

// RecordSend records that an exchange with a target begins. Each one ends with
// RecordResponse, RecordNoResponse or Forget.
func (d *Detector) RecordSend(now time.Time, target, fingerprint uint64) {
	e := d.exposuresOf(target)
	e.waiting = append(e.waiting, exposure{fingerprint: fingerprint, sent: now, alive: e.alive})
}

// take removes a waiting exchange. It returns false if the target was lost in the
// meantime.
func (e *exposures) take(fingerprint uint64, sent time.Time) (exposure, bool) {
	i := slices.IndexFunc(e.waiting, func(x exposure) bool { return x.fingerprint == fingerprint && x.sent.Equal(sent) })
	if i < 0 {
		return exposure{}, false
	}
	x := e.waiting[i]
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return x, true
}

// RecordResponse records that a target responded, so that it was not lost until
// then.
func (d *Detector) RecordResponse(now time.Time, target, fingerprint uint64, sent time.Time) {
	e := d.exposuresOf(target)
	e.take(fingerprint, sent)
	e.recordAlive(now)
}

// RecordAlive records any other sign of life of a target.
func (d *Detector) RecordAlive(now time.Time, target uint64) {
	if e := d.exposures[target]; e != nil {
		e.recordAlive(now)
	}
}

func (e *exposures) recordAlive(now time.Time) {
	e.alive = now
	if len(e.ended) > 0 {
		e.ended = slices.DeleteFunc(e.ended, func(x exposure) bool { return now.Sub(x.ended) > abandonSlack })
	}
}

// Forget ends an exchange that says nothing of the target: it did not reach it, or
// is recorded by RecordBreak.
func (d *Detector) Forget(target, fingerprint uint64, sent time.Time) {
	d.exposuresOf(target).take(fingerprint, sent)
}

// RecordNoResponse records an exchange that ended without a response though the
// target did not close the connection. It becomes evidence if the target turns
// out to be lost.
func (d *Detector) RecordNoResponse(now time.Time, target, fingerprint uint64, sent time.Time) {
	e := d.exposuresOf(target)
	x, found := e.take(fingerprint, sent)
	if !found {
		return
	}
	if len(e.ended) == maxEndedExposures {
		e.ended = e.ended[1:]
	}
	x.ended = now
	e.ended = append(e.ended, x)
}

// RecordRestart records that a target has started again without leaving first:
// what it had not responded to may have crashed it.
func (d *Detector) RecordRestart(now time.Time, target uint64) {
	d.recordLoss(now, target, minDowntime)
}

// RecordLapse records that the registry entry of a target ended though it did not
// announce that it leaves. The target is lost if it has been silent.
func (d *Detector) RecordLapse(now time.Time, target uint64) {
	if e := d.exposures[target]; e != nil && now.Sub(e.alive) >= d.minSilence() {
		d.recordLoss(now, target, d.minSilence())
	}
}

// RecordLeave forgets a target that left as announced.
func (d *Detector) RecordLeave(target uint64) { delete(d.exposures, target) }

// recordLoss turns the exchanges of a lost target into evidence. Those that began
// less than minAge ago came after the loss.
func (d *Detector) recordLoss(now time.Time, target uint64, minAge time.Duration) {
	e := d.exposures[target]
	if e == nil {
		return
	}
	delete(d.exposures, target)
	reported := map[uint64]bool{}
	latestStart := e.latestStart(now)
	for _, x := range slices.Concat(e.waiting, e.ended) {
		isOld := !x.ended.IsZero() && now.Sub(x.ended) >= exposureTTL
		if isOld || now.Sub(x.sent) < minAge || x.sent.After(latestStart) || reported[x.fingerprint] {
			continue
		}
		reported[x.fingerprint] = true
		d.recordEvidence(now, exchange{fingerprint: x.fingerprint, target: target, sent: x.sent, broken: now, silent: true, alive: x.alive})
	}
}

// latestStart returns the time after which a lost target cannot have begun to run a
// request: it had not responded for long to an earlier one.
func (e *exposures) latestStart(now time.Time) time.Time {
	latest := now
	for _, x := range slices.Concat(e.waiting, e.ended) {
		end := x.ended
		if end.IsZero() {
			end = now
		}
		if by := x.sent.Add(maxRunTime); end.After(by) && by.Before(latest) {
			latest = by
		}
	}
	return latest
}

// expireExposures drops what is too old to become evidence.
func (d *Detector) expireExposures(now time.Time) {
	for target, e := range d.exposures {
		e.ended = slices.DeleteFunc(e.ended, func(x exposure) bool { return now.Sub(x.ended) >= exposureTTL })
		if len(e.waiting)+len(e.ended) == 0 && now.Sub(e.alive) >= exposureTTL {
			delete(d.exposures, target)
		}
	}
}
