package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that pay a trip to open a connection: a region with
// few targets sends most objects far away.
func TestStandbyOfASmallRegion(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 1, "a1", "a2")
	addTargets(e, "s", 8, "b1", "b2", "c1")
	e.Tick(start)
	is.Equal(len(e.Standby(start)), 24)

	// Targets that may get nothing, or were found down, get no connection.
	e.Evacuate(start, "b1", true)
	leaving := record("s-b2-0", "s", "b2")
	leaving.Draining, leaving.Sequence = true, 2
	is.True(e.PutTarget(start, leaving))
	e.DropTarget(start, "s-b2-1", 0)
	e.targets["s-b2-2"].failing.failed(start, true)
	is.Equal(len(e.Standby(start)), 24-8-3)

	// A short trip is not worth a connection.
	for _, zone := range []string{"b2", "c1"} {
		e.ObserveTrip(zone, standbyTrip-time.Millisecond)
	}
	is.Equal(len(e.Standby(start)), 0)
}

// Guards against connections that nobody uses: a region with targets enough
// keeps none, and a fleet of many targets bounds them.
func TestStandbyIsBounded(t *testing.T) {
	is := is.New(t)
	calm := testEngine(t, "i", "a1")
	addTargets(calm, "s", 8, "a1", "a2", "b1", "b2")
	calm.Tick(start)
	is.Equal(len(calm.Standby(start)), 0)

	chosen := map[TargetID]bool{}
	for _, name := range []string{"i", "j"} {
		e := testEngine(t, name, "a1")
		addTargets(e, "s", 1, "a1")
		addTargets(e, "s", 200, "b1", "b2")
		e.Tick(start)
		endpoints := e.Standby(start)
		is.Equal(len(endpoints), standbyMost)
		for _, endpoint := range endpoints {
			chosen[endpoint.Target] = true
		}
	}
	is.True(len(chosen) > standbyMost)
}
