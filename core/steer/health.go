package steer

import "time"

const (
	// ejectBase is the first pause after a target stopped answering; it
	// doubles up to ejectMost.
	ejectBase = 500 * time.Millisecond
	ejectMost = 4 * time.Second
	// brokenLimit is the number of broken exchanges in a row that eject a
	// target; one alone may be a lost answer.
	brokenLimit = 2
	// errorWeight is the weight of the newest outcome in the share of errors.
	errorWeight = 0.15
	// errorFade is the time without an outcome after which the share of errors
	// counts half: a target that nobody uses would keep it for good.
	errorFade = 4 * time.Second
)

// health is what an instance measured itself of a target. A target that sheds
// or fails some requests stays in use, at a cost by its share of errors.
type health struct {
	// row counts failures without a success between them.
	row        int
	ejections  int
	ejectUntil time.Time
	// pause is the length of the last ejection.
	pause time.Duration
	// failedAt is when an own request failed last.
	failedAt time.Time
	// byOthers is set while the ejection rests on the word of others.
	byOthers bool
	// probing is set while the one request that tests an ejected target runs.
	probing bool
	// errors is the share of errors as of errorsAt.
	errors   float64
	errorsAt time.Time
}

// usable tells whether a request may be sent. After an ejection one request at
// a time tests the target. Work that must not run twice does so only if no
// other has for as long again, unless tests says that it is to: it is lost if
// the target still breaks off.
func (h *health) usable(now time.Time, tests bool) bool {
	if h.ejections == 0 {
		return true
	}
	from := h.ejectUntil
	if !tests {
		from = from.Add(h.pause)
	}
	return !now.Before(from) && !h.probing
}

// errorShare is the share of requests that failed lately.
func (h *health) errorShare(now time.Time) float64 {
	share := h.errors
	for idle := now.Sub(h.errorsAt); idle > errorFade && share > 0.01; idle -= errorFade {
		share /= 2
	}
	return share
}

// noteError counts an error in the share.
func (h *health) noteError(now time.Time) {
	share := h.errorShare(now)
	h.errors, h.errorsAt = share+errorWeight*(1-share), now
}

func (h *health) sent() {
	if h.ejections > 0 {
		h.probing = true
	}
}

func (h *health) succeeded(now time.Time) {
	h.row, h.ejections, h.probing, h.byOthers = 0, 0, false, false
	h.errors, h.errorsAt = (1-errorWeight)*h.errorShare(now), now
}

// refused notes an answer that says the request did not run. The target lives.
func (h *health) refused(now time.Time) {
	h.probing = false
	h.noteError(now)
}

// failed notes an exchange without an answer. It returns true if the target is
// ejected by it. atOnce says that no connection could be opened, or that the
// target broke off before it can have done any work.
func (h *health) failed(now time.Time, atOnce bool) bool {
	h.row++
	h.probing = false
	h.failedAt = now
	h.noteError(now)
	if !atOnce && h.row < brokenLimit && h.ejections == 0 {
		return false
	}
	h.pause = min(ejectBase<<min(h.ejections, 3), ejectMost)
	h.ejections++
	h.byOthers = false
	h.ejectUntil = now.Add(h.pause)
	return true
}

// heard notes that other instances cannot reach the target: one request tests
// it, as after an own failure.
func (h *health) heard(now time.Time) {
	h.ejections, h.pause = 1, ejectBase
	h.ejectUntil = now.Add(h.pause)
	h.byOthers = true
}

// postpone puts off the test of an ejected target that failed elsewhere.
func (h *health) postpone(now time.Time) {
	if until := now.Add(ejectBase); h.ejectUntil.Before(until) {
		h.ejectUntil = until
	}
}

// ownDown tells whether this instance itself found lately that the target does
// not answer.
func (h *health) ownDown(now time.Time) bool {
	return h.ejections > 0 && !h.byOthers && now.Sub(h.failedAt) < downAge
}

// abandoned notes an exchange that ended without a verdict.
func (h *health) abandoned() { h.probing = false }
