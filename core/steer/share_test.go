package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that fills a target which others know to be full.
func TestLoadsOfOthersAreHeard(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "a1")
	for _, e := range []*Engine{a, b} {
		addTargets(e, "s", 2, "a1")
	}
	r := newTestRequest(a, start, "/order/1", 0)
	s := mustSend(t, a, start, r)
	_, _ = a.Finish(start, r, s, Ended{Result: Answered, Load: &Load{Running: 3, Waiting: 9, Slots: 3}})
	told := a.Observations(start)
	is.Equal(len(told), 1)
	is.Equal(told[0].Load, 11) // the answered request has ended
	b.HearObservations(start, "a", told)
	for range 3 {
		got := mustSend(t, b, start, newTestRequest(b, start, "/order/1", 0))
		is.True(got.Target != s.Target)
	}
	is.Equal(len(a.Observations(start.Add(shareAge))), 0) // too old to tell
	is.Equal(len(b.Observations(start)), 0)               // hearsay is not passed on
}

// Guards against orders that are lost one by one as each instance of a zone
// tests a target that still breaks off: one test tells all of them.
func TestOneInstanceOfAZoneTestsAtATime(t *testing.T) {
	is := is.New(t)
	a, b := testEngine(t, "a", "a1"), testEngine(t, "b", "a1")
	for _, e := range []*Engine{a, b} {
		addTargets(e, "s", 1, "a1")
		r := newTestRequest(e, start, "/order/1", 0)
		_, _ = finish(e, start, r, mustSend(t, e, start, r), NotSent)
	}
	now := start.Add(ejectBase)
	r := newTestRequest(a, now, "/order/1", 0)
	_, _ = finish(a, now, r, mustSend(t, a, now, r), NotSent)
	b.HearObservations(now, "a", a.Observations(now))
	_, refusal := b.Arrive(now, newTestRequest(b, now, "/order/1", 0))
	is.Equal(refusal.Reason, ReasonNoTarget)
	now = now.Add(ejectBase)
	mustSend(t, b, now, newTestRequest(b, now, "/order/1", 0))
	is.Equal(len(a.Observations(start.Add(ejectBase+downAge))), 0) // too old to tell
}

// Guards against downs that are never told, since others come first each time.
func TestNewestDownsAreTold(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "a", "a1")
	addTargets(e, "s", sharedDowns+2, "a1")
	now := start
	for _, target := range e.byService["s"] {
		now = now.Add(time.Millisecond)
		target.failing.failed(now, true)
	}
	told := e.Observations(now)
	is.Equal(len(told), sharedDowns)
	for i, o := range told {
		is.Equal(o.Target, e.byService["s"][sharedDowns+1-i].hash)
	}
}

// Guards against each instance finding out by a request of its own that a
// target is gone, and against one that is cut off and talks others out of it.
func TestDownTargetsNeedTwoReporters(t *testing.T) {
	is := is.New(t)
	down := testEngine(t, "a", "a1")
	addTargets(down, "s", 1, "a1")
	r := newTestRequest(down, start, "/order/1", 0)
	s := mustSend(t, down, start, r)
	_, _ = finish(down, start, r, s, NotSent)
	told := down.Observations(start)
	is.Equal(len(told), 1)
	is.True(told[0].Down)
	e := testEngine(t, "b", "a1")
	addTargets(e, "s", 1, "a1")
	e.HearObservations(start, "a", told)
	e.HearObservations(start.Add(time.Second), "a", told)
	first := newTestRequest(e, start, "/order/1", 0)
	send := mustSend(t, e, start, first)
	_, _ = finish(e, start, first, send, Answered)
	e.HearObservations(start.Add(time.Second), "c", told)
	now := start.Add(time.Second)
	_, refusal := e.Arrive(now, newTestRequest(e, now, "/order/1", 0))
	is.Equal(refusal.Reason, ReasonNoTarget)
	is.Equal(len(e.Observations(now)), 0) // it has not seen this itself
	now = now.Add(ejectBase)
	probe := newTestRequest(e, now, "/order/1", 0)
	send = mustSend(t, e, now, probe)
	_, _ = finish(e, now, probe, send, Answered)
	mustSend(t, e, now, newTestRequest(e, now, "/order/1", 0))
}
