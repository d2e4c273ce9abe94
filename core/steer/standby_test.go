package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStandbyOfASmallRegion guards against requests that wait a round trip for
// a new connection: a region with few targets sends most objects to other
// regions.
func TestStandbyOfASmallRegion(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 1, "a1", "a2")
	addTargets(e, "s", 8, "b1", "b2", "c1")
	e.Tick(start)
	is.Equal(len(e.StandbyEndpoints(start)), 24)

	// Targets that may get no requests, or were found down, get no connection.
	e.Evacuate(start, "b1", true)
	leaving := testRecord("s-b2-0", "s", "b2")
	leaving.Draining, leaving.Sequence = true, 2
	is.True(e.PutTarget(start, leaving))
	e.DropTarget(start, "s-b2-1", 0)
	e.targets["s-b2-2"].health.recordFailure(start, true)
	is.Equal(len(e.StandbyEndpoints(start)), 24-8-3)

	// A short round trip is not worth a connection.
	for _, zone := range []string{"b2", "c1"} {
		e.ObserveRTT(zone, minStandbyRTT-time.Millisecond)
	}
	is.Equal(len(e.StandbyEndpoints(start)), 0)
}

// TestStandbyIsBounded guards against unused connections: a region with enough
// targets keeps none ready, and their number is bounded in a fleet of many
// targets.
func TestStandbyIsBounded(t *testing.T) {
	is := is.New(t)
	sufficient := testEngine(t, "i", "a1")
	addTargets(sufficient, "s", 8, "a1", "a2", "b1", "b2")
	sufficient.Tick(start)
	is.Equal(len(sufficient.StandbyEndpoints(start)), 0)

	chosen := map[TargetID]bool{}
	for _, name := range []string{"i", "j"} {
		e := testEngine(t, name, "a1")
		addTargets(e, "s", 1, "a1")
		addTargets(e, "s", 200, "b1", "b2")
		e.Tick(start)
		endpoints := e.StandbyEndpoints(start)
		is.Equal(len(endpoints), maxStandbyTargets)
		for _, endpoint := range endpoints {
			chosen[endpoint.Target] = true
		}
	}
	is.True(len(chosen) > maxStandbyTargets)
}

// Guards against connections that are kept for services with time to spare while
// those with a short latency objective wait a round trip for each new one: more
// far targets than maxStandbyTargets.
func TestStandbyPrefersShortObjectives(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	doc := testDocument(t, 2)
	doc.Routes = append(doc.Routes, Route{Name: "urgent", Host: "h", Prefix: "/urgent/", Timeout: time.Second,
		LatencyObjective: 150 * time.Millisecond, Shares: []Share{{"s2", 90}, {"s", 10}}, MaxAttempts: 2})
	is.NoErr(doc.Build())
	is.True(e.SetDocument(doc))
	for _, service := range []string{"s", "s2"} {
		addTargets(e, service, 1, "a1")
	}
	addTargets(e, "s", 200, "b1", "b2")
	addTargets(e, "s2", 30, "b1", "b2")
	e.Tick(start)
	urgent := 0
	for _, endpoint := range e.StandbyEndpoints(start) {
		if e.targets[endpoint.Target].Service == "s2" {
			urgent++
		}
	}
	is.Equal(urgent, 60)
}
