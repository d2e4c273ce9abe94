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
)

// health is what an instance measured itself of a target. A target that sheds
// or fails some requests stays in use, at a cost by its share of errors.
type health struct {
	// row counts failures without a success between them.
	row        int
	ejections  int
	ejectUntil time.Time
	// byOthers is set while the ejection rests on the word of others.
	byOthers bool
	// probing is set while the one request that tests an ejected target runs.
	probing bool
	errors  float64
}

// usable tells whether a request may be sent. After an ejection one request at
// a time tests the target.
func (h *health) usable(now time.Time) bool {
	if h.ejections == 0 {
		return true
	}
	return !now.Before(h.ejectUntil) && !h.probing
}

func (h *health) sent() {
	if h.ejections > 0 {
		h.probing = true
	}
}

func (h *health) succeeded() {
	h.row, h.ejections, h.probing, h.byOthers = 0, 0, false, false
	h.errors -= errorWeight * h.errors
}

// refused notes an answer that says the request did not run. The target lives.
func (h *health) refused() {
	h.probing = false
	h.errors += errorWeight * (1 - h.errors)
}

// failed notes an exchange without an answer. It returns true if the target is
// ejected by it. unreachable says that no connection could be opened.
func (h *health) failed(now time.Time, unreachable bool) bool {
	h.row++
	h.probing = false
	h.errors += errorWeight * (1 - h.errors)
	if !unreachable && h.row < brokenLimit && h.ejections == 0 {
		return false
	}
	pause := min(ejectBase<<min(h.ejections, 3), ejectMost)
	h.ejections++
	h.byOthers = false
	h.ejectUntil = now.Add(pause)
	return true
}

// heard notes that other instances cannot reach the target: one request tests
// it, as after an own failure.
func (h *health) heard(now time.Time) {
	h.ejections = 1
	h.ejectUntil = now.Add(ejectBase)
	h.byOthers = true
}

// ownDown tells whether this instance itself found the target not to answer.
func (h *health) ownDown(now time.Time) bool {
	return h.ejections > 0 && !h.byOthers && now.Sub(h.ejectUntil) < ejectMost
}

// abandoned notes an exchange that ended without a verdict.
func (h *health) abandoned() { h.probing = false }
