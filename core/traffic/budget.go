package traffic

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/limit"
)

// Limits of a shift for which the document states none.
const (
	defaultShiftCap   = 200 // requests a second
	defaultShiftStart = 20  // requests a second
	defaultShiftRamp  = time.Minute
)

// linkTable holds this instance's parts of the links out of its region.
type linkTable struct {
	byRegion []limit.Link
}

func (t *linkTable) configure(now time.Time, doc *document.Compiled, from document.RegionID, share float64) {
	for len(t.byRegion) < len(doc.Regions) {
		t.byRegion = append(t.byRegion, limit.Link{})
	}
	t.byRegion = t.byRegion[:len(doc.Regions)]
	for to := range t.byRegion {
		bytes := 0.0
		if link := doc.LinkBetween(from, document.RegionID(to)); link != nil {
			bytes = float64(link.BytesPerSecond) * share
		}
		t.byRegion[to].Set(now, bytes)
	}
}

// ready tells whether n bytes may go to the region now. A length that is not
// known cannot be charged before the start, so it may not.
func (t *linkTable) ready(now time.Time, to document.RegionID, n int64, p document.Priority) bool {
	return n >= 0 && int(to) < len(t.byRegion) && t.byRegion[to].Ready(now, n, p)
}

func (t *linkTable) charge(now time.Time, to document.RegionID, n int64, p document.Priority) bool {
	return t.ready(now, to, n, p) && t.byRegion[to].Charge(now, n, p)
}

// shiftState is the cap of one service's moves from one region to this one,
// and the pause of its moves from here to there.
type shiftState struct {
	limit       limit.Shift
	pausedUntil time.Time
}

// shift returns the state for a service and another region.
func (e *Engine) shift(service int32, region document.RegionID) *shiftState {
	return &e.shifts[int(service)*len(e.doc.Regions)+int(region)]
}

// configureShifts keeps the ramps in progress, by name of service and region
// number; regions are only ever appended while the zones stay.
func (e *Engine) configureShifts(share float64) {
	regions := len(e.doc.Regions)
	old, oldRegions := e.shifts, e.shiftRegions
	e.shiftRegions = regions
	e.shifts = make([]shiftState, len(e.services.rows)*regions)
	for service := range e.services.rows {
		for region := range regions {
			state := &e.shifts[service*regions+region]
			if at := service*oldRegions + region; oldRegions == regions && at < len(old) {
				*state = old[at]
			}
			state.limit.Set(e.shiftRates(service, document.RegionID(region), share))
		}
	}
}

func (e *Engine) shiftRates(service int, from document.RegionID, share float64) (start, cap float64, ramp time.Duration) {
	s := &e.services.rows[service]
	for i := range e.doc.Shifts {
		d := &e.doc.Shifts[i]
		if s.present && d.Service == s.id && d.From == from && d.To == e.region {
			return d.StartPerSecond * share, d.CapPerSecond * share, d.Ramp
		}
	}
	return defaultShiftStart * share, defaultShiftCap * share, defaultShiftRamp
}

// chargeShift counts a request of another region against the shift cap, once.
func (e *Engine) chargeShift(now time.Time, r *request) bool {
	if !e.moved(r) {
		return true
	}
	if !e.shift(r.service, r.origin).limit.Take(now) {
		return false
	}
	r.shiftCharged = true
	return true
}

// moved tells whether the request still has to be counted as moved here.
func (e *Engine) moved(r *request) bool {
	return !r.shiftCharged && r.origin != e.region && int(r.origin) < len(e.doc.Regions)
}
