package traffic

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/limit"
)

// Limits of a shift that the document does not define.
const (
	defaultShiftCap   = 200 // requests a second
	defaultShiftStart = 20  // requests a second
	defaultShiftRamp  = time.Minute
)

// linkTable holds this instance's parts of the budgets of the links that leave
// its region.
type linkTable struct {
	byRegion []limit.Link // by destination region
}

func (t *linkTable) configure(now time.Time, doc *document.Compiled, from document.RegionID, shardFraction float64) {
	for len(t.byRegion) < len(doc.Regions) {
		t.byRegion = append(t.byRegion, limit.Link{})
	}
	t.byRegion = t.byRegion[:len(doc.Regions)]
	for to := range t.byRegion {
		bytes := 0.0
		if link := doc.LinkBetween(from, document.RegionID(to)); link != nil {
			bytes = float64(link.BytesPerSecond) * shardFraction
		}
		t.byRegion[to].Set(now, bytes)
	}
}

// ready reports whether n bytes may be sent to the region now. An unknown
// length (negative n) cannot be charged in advance and is not allowed.
func (t *linkTable) ready(now time.Time, to document.RegionID, n int64, p document.Priority) bool {
	return n >= 0 && int(to) < len(t.byRegion) && t.byRegion[to].Ready(now, n, p)
}

func (t *linkTable) charge(now time.Time, to document.RegionID, n int64, p document.Priority) bool {
	return t.ready(now, to, n, p) && t.byRegion[to].Charge(now, n, p)
}

// shiftState limits the requests of one service that move between this region
// and another: the cap on those that arrive here, and a pause for those that
// would leave.
type shiftState struct {
	limit       limit.Shift
	pausedUntil time.Time
}

// shift returns the shift state of a service row and another region.
func (e *Engine) shift(service int32, region document.RegionID) *shiftState {
	return &e.shifts[int(service)*len(e.doc.Regions)+int(region)]
}

// configureShifts sets this instance's part of all shift caps. The state of a
// shift, with its ramp, is kept by service row and region number if the number
// of regions is unchanged. Regions keep their numbers while the zones stay the
// same, since new ones are only appended.
func (e *Engine) configureShifts(shardFraction float64) {
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
			state.limit.Set(e.shiftRates(service, document.RegionID(region), shardFraction))
		}
	}
}

func (e *Engine) shiftRates(service int, from document.RegionID, shardFraction float64) (start, cap float64, ramp time.Duration) {
	s := &e.services.rows[service]
	for i := range e.doc.Shifts {
		d := &e.doc.Shifts[i]
		if s.present && d.Service == s.id && d.From == from && d.To == e.region {
			return d.StartPerSecond * shardFraction, d.CapPerSecond * shardFraction, d.Ramp
		}
	}
	return defaultShiftStart * shardFraction, defaultShiftCap * shardFraction, defaultShiftRamp
}

// chargeShift counts a request of another region against the shift cap, once.
// It reports false if the cap does not allow the request.
func (e *Engine) chargeShift(now time.Time, r *request) bool {
	if !e.needsShiftCharge(r) {
		return true
	}
	if !e.shift(r.service, r.origin).limit.Take(now) {
		return false
	}
	r.shiftCharged = true
	return true
}

// needsShiftCharge reports whether a request belongs to another region and has
// not been counted against the shift cap.
func (e *Engine) needsShiftCharge(r *request) bool {
	return !r.shiftCharged && r.origin != e.region && int(r.origin) < len(e.doc.Regions)
}
