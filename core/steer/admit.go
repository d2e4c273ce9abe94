package steer

import "time"

// Admission answers two loads. At a peak a little above what the targets can
// take, a queue is worked off soon, and a late answer is worth more to its
// caller than none. In a flood each late answer makes the next one late: work
// that would be late only because of the queue is then refused, so that the
// slots serve callers in time. How many arrivals find such a queue tells the
// two apart. A target with a free slot is never a reason to refuse.
const (
	// floodFactor and peakFactor are the parts of a route's aim that the
	// expected time of a queued request may take.
	floodFactor = 1.25
	peakFactor  = 3.5
	// urgencyStep lowers them for each step of less urgent work.
	urgencyStep = 0.1
	// pressureWeight is the weight of the newest arrival in the pressure.
	pressureWeight = 0.02
	// peakPressure and floodPressure are the parts of arrivals with a long
	// queue between which patience falls.
	peakPressure  = 0.3
	floodPressure = 0.7
)

// admits tells whether a request is sent that waits in a queue and takes an
// expected time.
func (e *Engine) admits(now time.Time, r *Request, wait, expected time.Duration) bool {
	left := r.Deadline.Sub(now)
	aim := r.Route.Aim
	if aim <= 0 {
		return wait == 0 || expected <= left
	}
	urgency := urgencyStep * float64(r.Route.Priority)
	strict := factorOf(aim, floodFactor-urgency)
	pressure := e.pressures[r.Service]
	crowded := 0.0
	if wait > 0 && expected > strict {
		crowded = 1
	}
	pressure += pressureWeight * (crowded - pressure)
	e.pressures[r.Service] = pressure
	flood := min(max((pressure-peakPressure)/(floodPressure-peakPressure), 0), 1)
	patience := factorOf(aim, peakFactor-urgency) - time.Duration(flood*float64(factorOf(aim, peakFactor-floodFactor)))
	return wait == 0 || expected <= min(left, patience)
}

// factorOf returns a multiple of an aim, at least the aim itself.
func factorOf(aim time.Duration, factor float64) time.Duration {
	return time.Duration(max(factor, 1) * float64(aim))
}
