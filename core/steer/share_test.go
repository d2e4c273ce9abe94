package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeerLoadReportsAreUsed guards against an instance that sends requests to
// a target which other instances know to be full.
func TestPeerLoadReportsAreUsed(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "a1")
	for _, e := range []*Engine{a, b} {
		addTargets(e, "s", 2, "a1")
	}
	r := newTestRequest(a, start, "/order/1", 0)
	s := mustSend(t, a, start, r)
	_, _ = a.Finish(start, r, s, ExchangeReport{Result: Responded, Load: &Load{Running: 3, Waiting: 9, Slots: 3}})
	shared := a.Observations(start)
	is.Equal(len(shared), 1)
	is.Equal(shared[0].Load, 11) // the request with the response has ended
	b.RecordObservations(start, "a", shared)
	for range 3 {
		got := mustSend(t, b, start, newTestRequest(b, start, "/order/1", 0))
		is.True(got.Target != s.Target)
	}
	is.Equal(len(a.Observations(start.Add(maxSharedLoadAge))), 0) // too old to share
	is.Equal(len(b.Observations(start)), 0)                       // reports of others are not passed on
}

// TestOneInstanceOfAZoneProbesAtATime guards against orders that are lost one by
// one as each instance of a zone probes a target that still does not respond:
// the probe of one instance informs all of them.
func TestOneInstanceOfAZoneProbesAtATime(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "a1")
	for _, e := range []*Engine{a, b} {
		addTargets(e, "s", 1, "a1")
		r := newTestRequest(e, start, "/order/1", 0)
		_, _ = finish(e, start, r, mustSend(t, e, start, r), NotSent)
	}
	now := start.Add(baseEjectionTime)
	r := newTestRequest(a, now, "/order/1", 0)
	_, _ = finish(a, now, r, mustSend(t, a, now, r), NotSent)
	b.RecordObservations(now, "a", a.Observations(now))
	_, refusal := b.Arrive(now, newTestRequest(b, now, "/order/1", 0))
	is.Equal(refusal.Reason, ReasonNoTarget)
	now = now.Add(baseEjectionTime)
	mustSend(t, b, now, newTestRequest(b, now, "/order/1", 0))
	is.Equal(len(a.Observations(start.Add(baseEjectionTime+downReportTTL))), 0) // too old to share
}

// TestNewestDownReportsAreShared guards against down targets that are never
// reported because the same others come first each time.
func TestNewestDownReportsAreShared(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "a", "a1")
	addTargets(e, "s", maxSharedDowns+2, "a1")
	now := start
	for _, target := range e.byService["s"] {
		now = now.Add(time.Millisecond)
		target.health.recordFailure(now, true)
	}
	shared := e.Observations(now)
	is.Equal(len(shared), maxSharedDowns)
	for i, o := range shared {
		is.Equal(o.Target, e.byService["s"][maxSharedDowns+1-i].hash)
	}
}

// TestDownTargetsNeedTwoReporters guards against each instance losing a request
// of its own to find out that a target is unreachable, and against an instance
// that is cut off and makes others eject targets.
func TestDownTargetsNeedTwoReporters(t *testing.T) {
	is := is.New(t)
	down := testEngine(t, "a", "a1")
	addTargets(down, "s", 1, "a1")
	r := newTestRequest(down, start, "/order/1", 0)
	s := mustSend(t, down, start, r)
	_, _ = finish(down, start, r, s, NotSent)
	shared := down.Observations(start)
	is.Equal(len(shared), 1)
	is.True(shared[0].Down)
	e := testEngine(t, "b", "a1")
	addTargets(e, "s", 1, "a1")
	e.RecordObservations(start, "a", shared)
	e.RecordObservations(start.Add(time.Second), "a", shared)
	first := newTestRequest(e, start, "/order/1", 0)
	send := mustSend(t, e, start, first)
	_, _ = finish(e, start, first, send, Responded)
	e.RecordObservations(start.Add(time.Second), "c", shared)
	now := start.Add(time.Second)
	_, refusal := e.Arrive(now, newTestRequest(e, now, "/order/1", 0))
	is.Equal(refusal.Reason, ReasonNoTarget)
	is.Equal(len(e.Observations(now)), 0) // it has not seen this itself
	now = now.Add(baseEjectionTime)
	probe := newTestRequest(e, now, "/order/1", 0)
	send = mustSend(t, e, now, probe)
	_, _ = finish(e, now, probe, send, Responded)
	mustSend(t, e, now, newTestRequest(e, now, "/order/1", 0))
}
