package steer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRegionShiftsSlowly guards against a region whose requests change their
// region abruptly: at most 0.15 of them may do so in 2 s. Traffic starts some
// seconds after the instances do, and the fraction of objects with homes
// elsewhere that was set at the start must still hold then.
func TestRegionShiftsSlowly(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 1, "a1", "a2")
	addTargets(e, "s", 8, "b1", "c1")
	fraction := func() float64 {
		own, others := e.regionLoads(start, e.byService["s"])
		return e.spillOf("s").fraction(own.slots, others.slots)
	}
	now := start
	tick := func() {
		e.Tick(now)
		now = now.Add(spillPeriod)
	}
	for range 16 {
		tick()
	}
	prepared := fraction()
	is.True(prepared > 0.3) // 6 of 54 slots for a third of the load
	for _, other := range e.byService["s"] {
		if other.region == "a" {
			other.peerLoad, other.peerLoadAt = 9, now.Add(time.Hour)
		}
	}
	for range 20 {
		before := fraction()
		for range 4 {
			tick()
		}
		is.True(fraction()-before <= 0.15)
	}
	is.True(fraction() > prepared)
}

// Guards against a region that keeps its objects although most of its targets
// are draining when it starts.
func TestExpectedFractionCountsUsableTargets(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 4, "a1", "a2", "b1", "b2")
	targets := e.byService["s"]
	is.Equal(e.expectedFraction(start, targets), 0.0)
	for i := range 4 {
		leaving := testRecord(fmt.Sprintf("s-a2-%d", i), "s", "a2")
		leaving.Draining, leaving.Sequence = true, 2
		is.True(e.PutTarget(start, leaving))
	}
	e.targets["s-a1-0"].health.recordFailure(start, true)
	is.True(math.Abs(e.expectedFraction(start, targets)-(1-3/5.5)) < 1e-9) // 3 of 11 targets, and 2 regions
}
