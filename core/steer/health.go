package steer

import "time"

const (
	// baseEjectionTime is how long a target that stopped responding is ejected
	// at first. The time doubles with each further ejection up to
	// maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// ejectAfterFailures is the number of consecutive failed exchanges that
	// eject a target; a single one may be a lost response.
	ejectAfterFailures = 2
	// errorRateWeight is the weight of the newest outcome in the error rate.
	errorRateWeight = 0.15
	// errorRateHalfLife is the time without an outcome in which the error rate
	// halves: a target that gets no requests would keep its rate forever.
	errorRateHalfLife = 4 * time.Second
)

// health is what an instance knows of whether a target responds. A target that
// sheds or fails some requests stays in use, at a cost by its error rate.
type health struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// ejectionTime is the length of the last ejection.
	ejectionTime time.Duration
	// lastFailure is when a request of this instance failed last.
	lastFailure time.Time
	// ejectedByPeers is set while the ejection rests on reports of other
	// instances.
	ejectedByPeers bool
	// probing is set while the one request that probes an ejected target is in
	// flight.
	probing bool
	// errorRate is the moving average, as of errorRateAt, of the fraction of
	// requests that failed or that the target refused.
	errorRate   float64
	errorRateAt time.Time
}

// usable reports whether a request may be sent to the target. After an ejection
// one request at a time probes the target, and it is lost if the target still
// does not respond. probeEarly is set for requests that may be retried or have
// no alternative: they probe as soon as the ejection ends, other requests only
// an ejectionTime later.
func (h *health) usable(now time.Time, probeEarly bool) bool {
	if h.ejections == 0 {
		return true
	}
	from := h.ejectedUntil
	if !probeEarly {
		from = from.Add(h.ejectionTime)
	}
	return !now.Before(from) && !h.probing
}

// currentErrorRate returns the error rate, which decays while the target gets
// no requests.
func (h *health) currentErrorRate(now time.Time) float64 {
	rate := h.errorRate
	for idle := now.Sub(h.errorRateAt); idle > errorRateHalfLife && rate > 0.01; idle -= errorRateHalfLife {
		rate /= 2
	}
	return rate
}

// recordError counts an error in the error rate.
func (h *health) recordError(now time.Time) {
	rate := h.currentErrorRate(now)
	h.errorRate, h.errorRateAt = rate+errorRateWeight*(1-rate), now
}

// recordSend marks a request to a target that was ejected as its probe.
func (h *health) recordSend() {
	if h.ejections > 0 {
		h.probing = true
	}
}

func (h *health) recordSuccess(now time.Time) {
	h.consecutiveFailures, h.ejections, h.probing, h.ejectedByPeers = 0, 0, false, false
	h.errorRate, h.errorRateAt = (1-errorRateWeight)*h.currentErrorRate(now), now
}

// recordRefusal records a response which says that the request failed or did
// not run. The target is alive.
func (h *health) recordRefusal(now time.Time) {
	h.probing = false
	h.recordError(now)
}

// recordFailure records an exchange without a response and reports whether it
// ejects the target. ejectNow is set if no connection could be opened, or if it
// was closed before the target can have done any work.
func (h *health) recordFailure(now time.Time, ejectNow bool) bool {
	h.consecutiveFailures++
	h.probing = false
	h.lastFailure = now
	h.recordError(now)
	if !ejectNow && h.consecutiveFailures < ejectAfterFailures && h.ejections == 0 {
		return false
	}
	h.ejectionTime = min(baseEjectionTime<<min(h.ejections, 3), maxEjectionTime)
	h.ejections++
	h.ejectedByPeers = false
	h.ejectedUntil = now.Add(h.ejectionTime)
	return true
}

// ejectByPeers ejects a target that other instances cannot reach. One request
// probes it afterwards, as after a failure seen by this instance.
func (h *health) ejectByPeers(now time.Time) {
	h.ejections, h.ejectionTime = 1, baseEjectionTime
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.ejectedByPeers = true
}

// postponeProbe delays the probe of an ejected target that failed at another
// instance.
func (h *health) postponeProbe(now time.Time) {
	if until := now.Add(baseEjectionTime); h.ejectedUntil.Before(until) {
		h.ejectedUntil = until
	}
}

// foundDown reports whether this instance itself recently found that the target
// does not respond.
func (h *health) foundDown(now time.Time) bool {
	return h.ejections > 0 && !h.ejectedByPeers && now.Sub(h.lastFailure) < downReportTTL
}

// cancelProbe ends a probe whose exchange says nothing about the target's
// health.
func (h *health) cancelProbe() { h.probing = false }
